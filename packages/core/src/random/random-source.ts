/** The one source of randomness. Tests give a seeded one. */
export abstract class RandomSource {
	/** Gets an identifier of 128 random bits, in hexadecimal. */
	getIdentifier(): string {
		let identifier = '';
		for (let part = 0; part < 4; part++) {
			identifier += this.getInteger(0, 0xFF_FF_FF_FF).toString(16).padStart(8, '0');
		}

		return identifier;
	}

	/**
	 * Gets a whole number.
	 * @param minimum - The smallest number that may come.
	 * @param maximum - The largest number that may come.
	 */
	abstract getInteger(minimum: number, maximum: number): number;

	/** Gets a number from 0 up to, but not including, 1. */
	abstract getFraction(): number;
}
