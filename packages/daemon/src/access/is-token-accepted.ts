import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';

const bearerPrefix = 'Bearer ';

/**
 * Checks the bearer token of an `Authorization` header against hashes. Takes constant time, whichever hash matches.
 * @param authorization - The header, if present.
 * @param tokenHashes - The SHA-256 hashes of the accepted tokens, in hexadecimal.
 */
export function isTokenAccepted(authorization: string | undefined, tokenHashes: readonly string[]): boolean {
	if (!authorization?.startsWith(bearerPrefix)) {
		return false;
	}

	const hash = createHash('sha256').update(authorization.slice(bearerPrefix.length)).digest();
	let isAccepted = false;
	for (const tokenHash of tokenHashes) {
		const accepted = Buffer.from(tokenHash, 'hex');
		if (accepted.length === hash.length && timingSafeEqual(accepted, hash)) {
			isAccepted = true;
		}
	}

	return isAccepted;
}
