import type {RandomSource} from '@camphortack/core';

/**
 * Gets some different entries of a list, chosen at random.
 * @param entries - The list; it stays as it is.
 * @param count - The most entries to take.
 * @param random - The source of randomness.
 */
export function getSample<Entry>(entries: readonly Entry[], count: number, random: RandomSource): Entry[] {
	const rest = [...entries];
	const taken = Math.min(count, rest.length);
	for (let index = 0; index < taken; index++) {
		const other = random.getInteger(index, rest.length - 1);
		[rest[index], rest[other]] = [rest[other]!, rest[index]!];
	}

	return rest.slice(0, taken);
}
