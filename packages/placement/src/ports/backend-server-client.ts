/** The backend server that a request is sent to. */
export type RequestTarget = {
	host: string;
	port: number;
	/** The intended incarnation. Another incarnation rejects the request. */
	serverId: string;
};

export type StartRequest = {
	taskName: string;
	runNumber: number;
	payload: string;
	/** End of the lease, on the backend server's clock. */
	leaseEndMs: number;
	/** The fencing token. The backend server rejects requests with a lower token than the highest it has seen. */
	token: number;
};

export type StopRequest = {
	taskName: string;
	runNumber: number;
	token: number;
};

export type RenewRequest = {
	token: number;
	/** The ends up to this number have been processed. */
	acknowledgedEndNumber: number;
	/** End of the lease, on the backend server's clock. Without it the lease is unchanged. */
	leaseEndMs?: number;
	/** How long the backend server may delay its response until a run ends (long polling). */
	waitMs?: number;
};

export type ActiveRun = {
	taskName: string;
	runNumber: number;
	/** Approximate progress or utilization, 0 to 100. */
	percent: number;
};

export type EndedRun = {
	/** Sequence number of the end within the incarnation; increases by one. */
	endNumber: number;
	taskName: string;
	runNumber: number;
	outcome: 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';
};

/** Why a backend server rejects a start or stop request. */
export type RejectionReason = 'fenced' | 'old-run' | 'lease-over' | 'no-room' | 'unhealthy' | 'other-incarnation' | 'malformed';

/** There was no response; the request may still take effect later. */
export type UnansweredResponse = {
	outcome: 'unanswered';
	reason: string;
	/** Whether the connection was refused: no process listens at the address, so the backend server has probably crashed. */
	isRefused?: boolean;
};

/** The response of a backend server to a start or stop request. */
export type StartStopResponse
	= {outcome: 'accepted'; clockMs: number | undefined}
		/** The request had no effect and will have none. */
		| {outcome: 'rejected'; reason: RejectionReason; clockMs: number | undefined}
		| UnansweredResponse;

export type RenewResponse
	= {outcome: 'accepted'; clockMs: number; bornMs: number | undefined; activeRuns: ActiveRun[]; endedRuns: EndedRun[]}
		| {outcome: 'rejected'; reason: 'fenced' | 'unhealthy' | 'other-incarnation' | 'malformed'}
		| UnansweredResponse;

/**
 * Sends requests to backend servers. Responses may arrive out of order; each request gets at most one. The promises never
 * reject: a request that fails in any way is unanswered, with the reason.
 */
export abstract class BackendServerClient {
	abstract start(target: RequestTarget, request: StartRequest, timeoutMs: number): Promise<StartStopResponse>;
	abstract stop(target: RequestTarget, request: StopRequest, timeoutMs: number): Promise<StartStopResponse>;
	abstract renew(target: RequestTarget, request: RenewRequest, timeoutMs: number): Promise<RenewResponse>;
	/** Closes the connections to a backend server that is no longer used. */
	abstract disconnect(target: RequestTarget): void;
}
