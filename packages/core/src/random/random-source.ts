/** The only source of randomness in a daemon. Tests use a seeded one, so that their runs can be repeated. */
export abstract class RandomSource {
	/** Generates a random 128-bit identifier in hexadecimal. */
	getIdentifier(): string {
		let identifier = '';
		for (let part = 0; part < 4; part++) {
			identifier += this.getInteger(0, 0xFF_FF_FF_FF).toString(16).padStart(8, '0');
		}

		return identifier;
	}

	/**
	 * Generates a random integer.
	 * @param minimum - The lower bound, inclusive.
	 * @param maximum - The upper bound, inclusive.
	 */
	abstract getInteger(minimum: number, maximum: number): number;

	/** Generates a random number from 0 (inclusive) to 1 (exclusive). */
	abstract getFraction(): number;
}
