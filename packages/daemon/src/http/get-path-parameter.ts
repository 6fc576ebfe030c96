import {z} from 'zod';

const parametersSchema = z.record(z.string(), z.string());

/**
 * Gets a parameter of a request's path; empty if there is none.
 * @param parameters - The parameters as the HTTP library gives them.
 * @param name - The parameter's name.
 */
export function getPathParameter(parameters: unknown, name: string): string {
	const parsed = parametersSchema.safeParse(parameters);
	return parsed.success ? parsed.data[name] ?? '' : '';
}
