/** A daemon as the other daemons know it. */
export type Member = {
	id: string;
	/** Fresh for each start of the daemon's process. */
	incarnation: string;
	availabilityZone: string;
	roles: ReadonlyArray<'entry' | 'keeper'>;
	host: string;
	peerPort: number;
};
