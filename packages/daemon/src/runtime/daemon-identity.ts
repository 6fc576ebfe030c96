/** Who this process is. */
export type OwnIdentity = {
	id: string;
	/** Fresh for each start of the process. */
	incarnation: string;
	availabilityZone: string;
};
