/** The relative imports of each file, by its path. */
export type ImportGraph = ReadonlyMap<string, readonly string[]>;

/**
 * Finds files that import each other, directly or over others. Each circle is given once, its paths sorted.
 * @param graph - Which file imports which.
 */
export function findImportCircles(graph: ImportGraph): string[][] {
	const reachable = new Map([...graph.keys()].map(path => [path, getReachable(graph, path)]));
	const circles = new Map<string, string[]>();
	for (const [path, targets] of reachable) {
		if (targets.has(path)) {
			const circle = [...targets].filter(target => reachable.get(target)?.has(path)).toSorted();
			circles.set(circle.join(' '), circle);
		}
	}

	return [...circles.values()];
}

function getReachable(graph: ImportGraph, start: string): Set<string> {
	const found = new Set<string>();
	const open = [...graph.get(start) ?? []];
	for (let path = open.pop(); path !== undefined; path = open.pop()) {
		if (!found.has(path)) {
			found.add(path);
			open.push(...graph.get(path) ?? []);
		}
	}

	return found;
}
