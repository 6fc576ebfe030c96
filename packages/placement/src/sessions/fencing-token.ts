const claimsPerTerm = 256;
const daemonNumberRange = 2 ** 24;

/** The parts of a fencing token, from most to least significant. */
export type FencingTokenParts = {
	/** The term of the placer. */
	term: number;
	/** Number of earlier claims of this backend server by the placer in its term. */
	claim: number;
	/** A number that no other daemon has, so that two daemons never use the same token. */
	daemonNumber: number;
};

/** The highest claim number of a term. */
export const maxClaimNumber = claimsPerTerm - 1;

/**
 * Gets the fencing token of a claim. A later term has a higher token, whatever the claim numbers.
 * @param parts - The parts of the token.
 *
 * @example
 * ```ts
 * getFencingToken({term: 2, claim: 0, daemonNumber: 7}) > getFencingToken({term: 1, claim: 255, daemonNumber: 9}); // true
 * ```
 */
export function getFencingToken({term, claim, daemonNumber}: FencingTokenParts): number {
	return (((term * claimsPerTerm) + claim) * daemonNumberRange) + (daemonNumber % daemonNumberRange);
}
