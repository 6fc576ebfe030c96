/**
 * Calls an asynchronous function sequentially until it returns a value.
 * @param maxCalls - The maximum number of calls.
 * @param call - The function. Its argument is the number of the call, starting at 1.
 * @returns The first value, or undefined if no call returned one.
 *
 * @example
 * ```ts
 * await retryUntilDefined(3, async attempt => attempt === 2 ? 'second' : undefined); // 'second'
 * ```
 */
export async function retryUntilDefined<Value>(maxCalls: number, call: (attempt: number) => Promise<Value | undefined>): Promise<Value | undefined> {
	for (let attempt = 1; attempt <= maxCalls; attempt++) {
		// eslint-disable-next-line no-await-in-loop -- The calls must not overlap.
		const value = await call(attempt);
		if (value !== undefined) {
			return value;
		}
	}

	return undefined;
}
