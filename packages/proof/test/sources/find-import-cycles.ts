/** The relative imports of each file, keyed by its path. */
export type ImportGraph = ReadonlyMap<string, readonly string[]>;

/**
 * Finds files that import each other, directly or indirectly. Each cycle is returned once, with its paths sorted.
 * @param graph - The import graph.
 */
export function findImportCycles(graph: ImportGraph): string[][] {
	const reachable = new Map([...graph.keys()].map(path => [path, getReachable(graph, path)]));
	const cycles = new Map<string, string[]>();
	for (const [path, targets] of reachable) {
		if (targets.has(path)) {
			const cycle = [...targets].filter(target => reachable.get(target)?.has(path)).toSorted();
			cycles.set(cycle.join(' '), cycle);
		}
	}

	return [...cycles.values()];
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
