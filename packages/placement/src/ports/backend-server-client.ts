/** Where an order goes. */
export type RequestTarget = {
	host: string;
	port: number;
	/** The incarnation meant; another one rejects the order. */
	serverId: string;
};

export type StartRequest = {
	taskName: string;
	runNumber: number;
	payload: string;
	/** End of the lease, on the backend server's clock. */
	leaseEndMs: number;
	/** The fencing token: an order with a lower one than the backend server has seen does nothing. */
	token: number;
};

export type StopRequest = {
	taskName: string;
	runNumber: number;
	token: number;
};

export type RenewRequest = {
	token: number;
	/** Ends up to this number have been taken note of. */
	acknowledgedEndNumber: number;
	/** End of the lease, on the backend server's clock; left out, the lease stays as it is. */
	leaseEndMs?: number;
	/** How long the answer may wait for an end. */
	waitMs?: number;
};

export type ActiveRun = {
	taskName: string;
	runNumber: number;
	/** Rough progress or share at work, 0 to 100. */
	percent: number;
};

export type EndedRun = {
	/** Rises by one with each end of the incarnation. */
	endNumber: number;
	taskName: string;
	runNumber: number;
	outcome: 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';
};

/** What a backend server said to an order. */
export type StartStopResponse
	= {outcome: 'accepted'; clockMs: number | undefined}
		/** The order did nothing and never will. */
		| {outcome: 'rejected'; reason: 'fenced' | 'old-run' | 'lease-over' | 'no-room' | 'unhealthy' | 'other-incarnation' | 'malformed'; clockMs: number | undefined}
		/** No answer came; the order may be carried out later. */
		| {outcome: 'unanswered'; reason: string};

export type RenewResponse
	= {outcome: 'accepted'; clockMs: number; bornMs: number | undefined; activeRuns: ActiveRun[]; endedRuns: EndedRun[]}
		| {outcome: 'rejected'; reason: 'fenced' | 'unhealthy' | 'other-incarnation' | 'malformed'}
		| {outcome: 'unanswered'; reason: string};

/** Gives orders to backend servers. Answers may come out of order; none is given twice. */
export abstract class BackendServerClient {
	abstract start(target: RequestTarget, order: StartRequest, timeoutMs: number): Promise<StartStopResponse>;
	abstract stop(target: RequestTarget, order: StopRequest, timeoutMs: number): Promise<StartStopResponse>;
	abstract renew(target: RequestTarget, order: RenewRequest, timeoutMs: number): Promise<RenewResponse>;
	/** Closes the connections to a backend server that is no longer used. */
	abstract disconnect(target: RequestTarget): void;
}
