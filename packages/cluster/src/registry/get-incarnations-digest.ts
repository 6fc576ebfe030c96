import {createHash} from 'node:crypto';
import type {ServerIncarnation} from '@camphortack/placement';

const digestLength = 16;

/**
 * Gets a digest of incarnations of backend servers, whatever their order.
 * @param servers - The incarnations.
 *
 * @example
 * ```ts
 * getIncarnationsDigest([first, second]) === getIncarnationsDigest([second, first]); // true
 * ```
 */
export function getIncarnationsDigest(servers: readonly ServerIncarnation[]): string {
	const keys = servers.map(server => getIncarnationKey(server)).toSorted();
	return createHash('sha256').update(keys.join('\n')).digest('hex').slice(0, digestLength);
}

/**
 * Gets a key that identifies an incarnation.
 * @param server - The incarnation.
 */
export function getIncarnationKey({id, bornMs}: ServerIncarnation): string {
	return `${id} ${bornMs}`;
}
