const claimsPerTerm = 256;
const daemonNumbers = 2 ** 24;

/** The parts of a fencing token, from the highest digits to the lowest. */
export type FencingTokenParts = {
	/** The term of the placer. */
	term: number;
	/** How often the placer has claimed this backend server in its term. */
	claim: number;
	/** A number that no other daemon has, so that two daemons never use one token. */
	daemonNumber: number;
};

/** The claims that one term has room for. */
export const mostClaimsPerTerm = claimsPerTerm - 1;

/**
 * Gets the fencing token of a claim. A later term gives a higher token, whatever the claims.
 * @param parts - The parts of the token.
 *
 * @example
 * ```ts
 * getFencingToken({term: 2, claim: 0, daemonNumber: 7}) > getFencingToken({term: 1, claim: 255, daemonNumber: 9}); // true
 * ```
 */
export function getFencingToken({term, claim, daemonNumber}: FencingTokenParts): number {
	return (((term * claimsPerTerm) + claim) * daemonNumbers) + (daemonNumber % daemonNumbers);
}
