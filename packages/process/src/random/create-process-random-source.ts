import {randomInt} from 'node:crypto';
import {createSeededRandomSource, type RandomSource} from '@camphortack/core';

const seedUpperBound = 0x7F_FF_FF_FF;

/** Creates a random source with a random seed. */
export function createProcessRandomSource(): RandomSource {
	return createSeededRandomSource(randomInt(seedUpperBound));
}
