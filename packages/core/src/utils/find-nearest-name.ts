const maxDistance = 3;

/**
 * Finds the known name that is closest to a misspelled one.
 * @param name - The name as written.
 * @param knownNames - The accepted names.
 * @returns The closest name within an edit distance of 3, or undefined.
 *
 * @example
 * ```ts
 * findNearestName('prot', ['port', 'host']); // 'port'
 * ```
 */
export function findNearestName(name: string, knownNames: Iterable<string>): string | undefined {
	let nearest: string | undefined;
	let nearestDistance = maxDistance + 1;
	for (const known of knownNames) {
		const distance = getEditDistance(name, known);
		if (distance < nearestDistance && distance < Math.max(name.length, known.length)) {
			nearest = known;
			nearestDistance = distance;
		}
	}

	return nearest;
}

function getEditDistance(left: string, right: string): number {
	let previous = Array.from({length: right.length + 1}, (_, index) => index);
	for (let row = 1; row <= left.length; row++) {
		const current = [row];
		for (let column = 1; column <= right.length; column++) {
			const substitution = previous[column - 1]! + (left[row - 1] === right[column - 1] ? 0 : 1);
			current.push(Math.min(previous[column]! + 1, current[column - 1]! + 1, substitution));
		}

		previous = current;
	}

	return previous[right.length]!;
}
