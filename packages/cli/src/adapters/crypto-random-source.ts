import {randomInt} from 'node:crypto';
import {RandomSource} from '@camphortack/core';

const fractionSteps = 2 ** 32;

/** Random numbers that nobody can guess. */
export class CryptoRandomSource extends RandomSource {
	override getInteger(minimum: number, maximum: number): number {
		return randomInt(minimum, maximum + 1);
	}

	override getFraction(): number {
		return randomInt(fractionSteps) / fractionSteps;
	}
}
