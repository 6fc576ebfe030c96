/** What the other daemons know about a daemon. */
export type Member = {
	id: string;
	/** Unique to each start of the daemon's process. */
	incarnation: string;
	availabilityZone: string;
	roles: ReadonlyArray<'entry' | 'keeper'>;
	host: string;
	peerPort: number;
};
