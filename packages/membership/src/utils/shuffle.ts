import type {RandomSource} from '@camphortack/core';

/** Puts values into a random order, in place. */
export function shuffle<T>(values: T[], random: RandomSource): T[] {
	for (let index = values.length - 1; index > 0; index--) {
		const other = random.getInteger(0, index);
		[values[index], values[other]] = [values[other]!, values[index]!];
	}

	return values;
}
