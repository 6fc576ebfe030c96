/** Where an order goes. */
export type OrderTarget = {
	host: string;
	port: number;
	/** The incarnation meant; another one rejects the order. */
	serverId: string;
};

export type StartOrder = {
	taskName: string;
	runNumber: number;
	payload: string;
	/** End of the lease, on the backend server's clock. */
	leaseEndMs: number;
	/** The fencing token: an order with a lower one than the backend server has seen does nothing. */
	token: number;
};

export type StopOrder = {
	taskName: string;
	runNumber: number;
	token: number;
};

export type RenewOrder = {
	token: number;
	/** Ends up to this number have been taken note of. */
	acknowledgedEnd: number;
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
	how: 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';
};

/** What a backend server said to an order. */
export type OrderAnswer
	= {outcome: 'accepted'; clockMs: number | undefined}
		/** The order did nothing and never will. */
		| {outcome: 'rejected'; reason: 'fenced' | 'old-run' | 'lease-over' | 'no-room' | 'unhealthy' | 'other-incarnation' | 'malformed'; clockMs: number | undefined}
		/** No answer came; the order may be carried out later. */
		| {outcome: 'unanswered'; reason: string};

export type RenewAnswer
	= {outcome: 'accepted'; clockMs: number; bornMs: number | undefined; activeRuns: ActiveRun[]; endedRuns: EndedRun[]}
		| {outcome: 'rejected'; reason: 'fenced' | 'unhealthy' | 'other-incarnation' | 'malformed'}
		| {outcome: 'unanswered'; reason: string};

/** Gives orders to backend servers. Answers may come out of order; none is given twice. */
export abstract class BackendServerOrders {
	abstract start(target: OrderTarget, order: StartOrder, timeoutMs: number): Promise<OrderAnswer>;
	abstract stop(target: OrderTarget, order: StopOrder, timeoutMs: number): Promise<OrderAnswer>;
	abstract renew(target: OrderTarget, order: RenewOrder, timeoutMs: number): Promise<RenewAnswer>;
	/** Closes the connections to a backend server that is no longer used. */
	abstract forget(target: OrderTarget): void;
}
