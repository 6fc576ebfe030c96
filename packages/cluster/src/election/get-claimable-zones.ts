/** A daemon as the count of an availability zone sees it. */
export type ZoneVoter = {
	availabilityZone: string;
	isAlive: boolean;
};

/**
 * Gets the availability zones whose backend servers a placer may claim: all zones if it hears most daemons, else those
 * of whose daemons it hears most. A daemon that is cut off from the rest would otherwise take backend servers away from
 * a placer that serves everybody.
 * @param voters - Every daemon that counts, the own one included.
 *
 * @example
 * ```ts
 * getClaimableZones([{availabilityZone: 'a', isAlive: true}, {availabilityZone: 'b', isAlive: false}, {availabilityZone: 'b', isAlive: false}]); // Set {'a'}
 * ```
 */
export function getClaimableZones(voters: readonly ZoneVoter[]): Set<string> {
	const zones = new Set(voters.map(voter => voter.availabilityZone));
	if (hasAliveMajority(voters)) {
		return zones;
	}

	return new Set([...zones].filter(zone => hasAliveMajority(voters.filter(voter => voter.availabilityZone === zone))));
}

/**
 * Whether most of the daemons that count are heard.
 * @param voters - Every daemon that counts, the own one included.
 */
export function hasAliveMajority(voters: readonly ZoneVoter[]): boolean {
	return voters.filter(voter => voter.isAlive).length * 2 > voters.length;
}
