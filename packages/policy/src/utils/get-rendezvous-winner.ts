import {hashText} from '@camphortack/core';

/**
 * Gets the candidate that is in charge of a key by rendezvous hashing. All who know the same candidates agree,
 * and when one goes, only its keys move.
 * @param key - What someone has to be in charge of.
 * @param candidates - The names that may be chosen.
 * @returns The winner, or undefined if there is no candidate.
 *
 * @example
 * ```ts
 * getRendezvousWinner('limit/walnut', ['daemon-1', 'daemon-2']);
 * ```
 */
export function getRendezvousWinner(key: string, candidates: Iterable<string>): string | undefined {
	let winner: string | undefined;
	let highestScore = -1;
	for (const candidate of candidates) {
		const score = hashText(`${key} ${candidate}`);
		if (score > highestScore || (score === highestScore && candidate < winner!)) {
			winner = candidate;
			highestScore = score;
		}
	}

	return winner;
}
