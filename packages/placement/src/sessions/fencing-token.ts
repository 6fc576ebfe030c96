const claimsPerTerm = 256;
const daemonNumberRange = 2 ** 24;

/** The parts of a fencing token, from most to least significant. */
export type FencingTokenParts = {
	/** The term of the placer. */
	term: number;
	/** A number that no other daemon has, so that two daemons never use the same token. */
	daemonNumber: number;
	/** Number of earlier claims of this backend server by the placer in its term. */
	claim: number;
};

/** The highest term whose tokens are safe integers. */
export const maxTerm = Math.floor(Number.MAX_SAFE_INTEGER / (daemonNumberRange * claimsPerTerm)) - 1;

/** The highest claim number of a term. */
export const maxClaimNumber = claimsPerTerm - 1;

/**
 * Gets the fencing token of a claim. A later term has a higher token. If two daemons place in the same term, all tokens of
 * the one with the larger number are higher, whatever the claim numbers: it is the one that the other daemons follow, and the
 * other one must not take a backend server back from it.
 * @param parts - The parts of the token.
 *
 * @example
 * ```ts
 * getFencingToken({term: 2, daemonNumber: 7, claim: 0}) > getFencingToken({term: 1, daemonNumber: 9, claim: 255}); // true
 * getFencingToken({term: 2, daemonNumber: 9, claim: 0}) > getFencingToken({term: 2, daemonNumber: 7, claim: 255}); // true
 * ```
 */
export function getFencingToken({term, daemonNumber, claim}: FencingTokenParts): number {
	return (((term * daemonNumberRange) + (daemonNumber % daemonNumberRange)) * claimsPerTerm) + claim;
}
