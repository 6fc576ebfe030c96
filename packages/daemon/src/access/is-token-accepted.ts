import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';

const bearerPrefix = 'Bearer ';

/**
 * Checks the token of an `Authorization` header against hashes, in a time that does not depend on the token.
 * @param authorization - The header, if there was one.
 * @param tokenHashes - SHA-256 of each accepted token, in hexadecimal.
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
