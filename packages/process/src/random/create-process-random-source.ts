import {randomInt} from 'node:crypto';
import {createSeededRandomSource, type RandomSource} from '@camphortack/core';

const largestSeed = 0x7F_FF_FF_FF;

/** Creates a random source with a seed of its own for this process. */
export function createProcessRandomSource(): RandomSource {
	return createSeededRandomSource(randomInt(largestSeed));
}
