/** A backend server with its labels, of which one is its kind and one its rack. */
type Labelled = {
	id: string;
	labels: readonly string[];
};

/**
 * Gets the label of each backend server that states its kind: the one that most backend servers share, since a rack
 * holds fewer than there are of a kind. A label that a backend server has to itself says nothing about others.
 * @param servers - All backend servers.
 */
export function getKindLabels(servers: readonly Labelled[]): Map<string, string> {
	const counts = new Map<string, number>();
	for (const label of servers.flatMap(({labels}) => labels)) {
		counts.set(label, (counts.get(label) ?? 0) + 1);
	}

	const kinds = new Map<string, string>();
	for (const {id, labels} of servers) {
		let kind: string | undefined;
		for (const label of labels) {
			kind = counts.get(label)! > (kind === undefined ? 1 : counts.get(kind)!) ? label : kind;
		}

		if (kind !== undefined) {
			kinds.set(id, kind);
		}
	}

	return kinds;
}
