/** The identity of a daemon process. */
export type DaemonIdentity = {
	id: string;
	/** Generated anew at each start of the process. */
	incarnation: string;
	availabilityZone: string;
};
