import {readFileSync} from 'node:fs';
import {z} from 'zod';

/** Gets the version from the manifest of this package. */
export function getPackageVersion(): string {
	const text = readFileSync(new URL('../../package.json', import.meta.url), 'utf8');
	return z.object({version: z.string()}).parse(JSON.parse(text)).version;
}
