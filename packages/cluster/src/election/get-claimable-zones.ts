/** A daemon that counts towards the majority of an availability zone. */
export type ZoneVoter = {
	availabilityZone: string;
	isAlive: boolean;
};

/**
 * Gets the availability zones whose backend servers a placer may claim: all zones if it hears a majority of all daemons,
 * otherwise only the zones in which it hears a majority of the daemons. Without this rule, a daemon that is
 * cut off from the rest would take backend servers away from a placer that serves all other daemons.
 * @param voters - Every daemon that counts, including this one.
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
 * Whether a majority of the daemons that count is alive.
 * @param voters - Every daemon that counts, including this one.
 */
export function hasAliveMajority(voters: readonly ZoneVoter[]): boolean {
	return voters.filter(voter => voter.isAlive).length * 2 > voters.length;
}
