/** A store of encoded outcomes with a size limit. */
export type OutcomeStore = {
	/** Stores an outcome; undefined removes the stored one. */
	setOutcome(id: string, outcome: Uint8Array | undefined): void;
	findOutcome(id: string): Uint8Array | undefined;
	getOutcomes(): Iterable<[string, Uint8Array]>;
	getByteCount(): number;
};

/** Memory overhead of an entry: its key and its slot in the map. */
const overheadBytes = 128;

/**
 * Creates a store with two generations of half the size limit each. When the newer one is full, the older one is dropped as a whole.
 * @param maxBytes - The size limit.
 */
export function createOutcomeStore(maxBytes: number): OutcomeStore {
	let newer = new Map<string, Uint8Array>();
	let newerBytes = 0;
	let older = new Map<string, Uint8Array>();
	let olderBytes = 0;

	function remove(id: string): void {
		newerBytes -= getCost(newer.get(id));
		newer.delete(id);
		olderBytes -= getCost(older.get(id));
		older.delete(id);
	}

	return {
		setOutcome(id, outcome) {
			remove(id);
			if (outcome === undefined || getCost(outcome) > maxBytes / 2) {
				return;
			}

			if (newerBytes + getCost(outcome) > maxBytes / 2) {
				older = newer;
				olderBytes = newerBytes;
				newer = new Map();
				newerBytes = 0;
			}

			newer.set(id, outcome);
			newerBytes += getCost(outcome);
		},
		findOutcome: id => newer.get(id) ?? older.get(id),
		* getOutcomes() {
			yield * older;
			yield * newer;
		},
		getByteCount: () => newerBytes + olderBytes,
	};
}

function getCost(outcome: Uint8Array | undefined): number {
	return outcome === undefined ? 0 : outcome.length + overheadBytes;
}
