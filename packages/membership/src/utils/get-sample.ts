import type {RandomSource} from '@camphortack/core';

/**
 * Gets some different entries of a list, chosen at random.
 * @param entries - The list; it stays as it is.
 * @param count - The most entries to take.
 * @param random - The source of randomness.
 */
export function getSample<Entry>(entries: readonly Entry[], count: number, random: RandomSource): Entry[] {
	const shuffled = [...entries];
	const sampleSize = Math.min(count, shuffled.length);
	for (let index = 0; index < sampleSize; index++) {
		const other = random.getInteger(index, shuffled.length - 1);
		[shuffled[index], shuffled[other]] = [shuffled[other]!, shuffled[index]!];
	}

	return shuffled.slice(0, sampleSize);
}
