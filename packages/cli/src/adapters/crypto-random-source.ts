import {randomInt} from 'node:crypto';
import {RandomSource} from '@camphortack/core';

const fractionSteps = 2 ** 32;

/** A cryptographically secure source of random numbers. */
export class CryptoRandomSource extends RandomSource {
	override getInteger(minimum: number, maximum: number): number {
		return randomInt(minimum, maximum + 1);
	}

	override getFraction(): number {
		return randomInt(fractionSteps) / fractionSteps;
	}
}
