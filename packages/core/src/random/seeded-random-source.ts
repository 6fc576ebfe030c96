import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {RandomSource} from './random-source.js';

/**
 * Creates a pseudorandom source that generates the same sequence for the same seed.
 * @param seed - An integer.
 *
 * @example
 * ```ts
 * const random = createSeededRandomSource(7);
 * random.getInteger(1, 6);
 * ```
 */
export function createSeededRandomSource(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	return new class extends RandomSource {
		override getInteger(minimum: number, maximum: number): number {
			return uniformInt(generator, minimum, maximum);
		}

		override getFraction(): number {
			return uniformInt(generator, 0, 0xFF_FF_FF_FF) / 0x1_00_00_00_00;
		}
	}();
}
