const quote = 0x22;
const comma = 0x2C;
const openingBracket = 0x5B;
const backslash = 0x5C;
const openingBrace = 0x7B;

/**
 * Counts the values of a JSON text without parsing it: at least as many as it has, if it is valid.
 * @param bytes - The text, encoded in UTF-8.
 *
 * @example
 * ```ts
 * countJsonValues(Buffer.from('{"a":[1,2],"b":"x,y"}')); // 5
 * ```
 */
export function countJsonValues(bytes: Uint8Array): number {
	let count = 1;
	let isInString = false;
	for (let index = 0; index < bytes.length; index++) {
		const byte = bytes[index]!;
		if (byte === quote) {
			isInString = !isInString;
		} else if (isInString) {
			index += byte === backslash ? 1 : 0;
		} else if (byte === comma || byte === openingBracket || byte === openingBrace) {
			count++;
		}
	}

	return count;
}
