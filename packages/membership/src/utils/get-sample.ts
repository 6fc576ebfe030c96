import type {RandomSource} from '@camphortack/core';

/**
 * Gets a random sample of a list without replacement, by a partial Fisher–Yates shuffle of a copy.
 * @param entries - The list. It is not modified.
 * @param count - The maximum size of the sample.
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
