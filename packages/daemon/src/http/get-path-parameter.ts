import {z} from 'zod';

const parametersSchema = z.record(z.string(), z.string());

/**
 * Gets a path parameter of a request, or an empty string if it is missing.
 * @param parameters - The parameters as parsed by restify.
 * @param name - The parameter's name.
 */
export function getPathParameter(parameters: unknown, name: string): string {
	const parsed = parametersSchema.safeParse(parameters);
	return parsed.success ? parsed.data[name] ?? '' : '';
}
