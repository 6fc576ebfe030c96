/** How one attempt ended, as evidence for or against its backend server. */
export type AttemptEvidence = {
	backendServerId: string;
	pool: string;
	jobId: string;
	ending: 'done' | 'error' | 'lost' | 'connect-refused';
	durationMs: number;
};

/** Decides which backend servers get no work because they fail what they start. */
export type EjectionTracker = {
	addEvidence(evidence: AttemptEvidence): void;
	/** Whether a task may start there now; for an ejected one true once a trial is due, and only for that trial. */
	mayStart(backendServerId: string): boolean;
	isEjected(backendServerId: string): boolean;
	/** Sets the size of a pool, which bounds how many may be ejected. */
	setPoolSize(pool: string, backendServerCount: number, largestEjectedShare: number): void;
	removeBackendServer(backendServerId: string): void;
};
