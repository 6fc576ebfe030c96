/**
 * Compares two JSON values. A property that is undefined counts as missing.
 * @param left - The first value.
 * @param right - The second value.
 *
 * @example
 * ```ts
 * isSameValue({a: [1], b: undefined}, {a: [1]}); // true
 * ```
 */
export function isSameValue(left: unknown, right: unknown): boolean {
	if (left === right) {
		return true;
	}

	if (Array.isArray(left) && Array.isArray(right)) {
		return left.length === right.length && left.every((item, index) => isSameValue(item, right[index]));
	}

	return isRecord(left) && isRecord(right) && hasSameMembers(left, right);
}

function isRecord(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function hasSameMembers(left: Record<string, unknown>, right: Record<string, unknown>): boolean {
	return Object.keys(left).every(key => isSameValue(left[key], right[key])) && Object.keys(right).every(key => right[key] === undefined || left[key] !== undefined);
}
