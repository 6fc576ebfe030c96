import {hashText} from '@camphortack/core';

/**
 * Selects the candidate responsible for a key by rendezvous (highest random weight) hashing. Processes with the same
 * candidates select the same one, and when a candidate is removed, only its keys are reassigned.
 * @param key - The key to assign.
 * @param candidates - The names of the candidates.
 * @returns The selected candidate, or undefined if there are no candidates.
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
