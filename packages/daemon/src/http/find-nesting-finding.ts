import type {Finding} from '@camphortack/core';

const quote = 0x22;
const backslash = 0x5C;
const openingBracket = 0x5B;
const closingBracket = 0x5D;
const openingBrace = 0x7B;
const closingBrace = 0x7D;

/**
 * Checks the nesting depth of a JSON text before it is parsed.
 * @param bytes - The text, encoded in UTF-8.
 * @param maxLevels - The maximum nesting depth.
 */
export function findNestingFinding(bytes: Uint8Array, maxLevels: number): Finding | undefined {
	let level = 0;
	let isInString = false;
	for (let index = 0; index < bytes.length; index++) {
		const byte = bytes[index]!;
		if (isInString) {
			if (byte === backslash) {
				index++;
			} else if (byte === quote) {
				isInString = false;
			}
		} else {
			switch (byte) {
				case quote: {
					isInString = true;

					break;
				}

				case openingBracket:
				case openingBrace: {
					level++;
					if (level > maxLevels) {
						return {code: 'too-deep', message: `is nested deeper than ${maxLevels} levels`, place: {column: index + 1}};
					}

					break;
				}

				case closingBracket:
				case closingBrace: {
					level--;

					break;
				}
 // No default
			}
		}
	}

	return undefined;
}
