/**
 * Calls an asynchronous function until it gives a value, one call after the other.
 * @param maxCalls - How often to call at most.
 * @param call - Gets the number of the call, from 1.
 * @returns The first value, or undefined if no call gave one.
 *
 * @example
 * ```ts
 * await findInTurn(3, async number => number === 2 ? 'second' : undefined); // 'second'
 * ```
 */
export async function retryUntilDefined<Value>(maxCalls: number, call: (number: number) => Promise<Value | undefined>): Promise<Value | undefined> {
	for (let number = 1; number <= maxCalls; number++) {
		// eslint-disable-next-line no-await-in-loop -- Each call waits for the end of the one before.
		const value = await call(number);
		if (value !== undefined) {
			return value;
		}
	}

	return undefined;
}
