import type {BackendServerDescription, EndedRun} from '../../src/index.js';

/** One run on the fleet, for assertions. */
export type RunRecord = {
	taskName: string;
	runNumber: number;
	serverId: string;
	startedAtMs: number;
	endedAtMs: number | undefined;
	outcome: EndedRun['outcome'] | undefined;
	daemonId: string;
	/** The fencing token of the start request. */
	token: number;
};

export type FakeRun = {
	record: RunRecord;
	durationMs: number;
};

/** The faults injected into a fake backend server. */
export type FakeFault = {
	/** Whether the backend server is unreachable from a daemon; requests and responses are lost. */
	isUnreachableFrom?: (daemonId: string) => boolean;
	/** Factor on run times; if infinite, tasks hang. */
	slowdownFactor?: number;
	failsAllTasks?: boolean;
	/** Start requests get no response and take effect after this time. */
	startDelayMs?: number;
	/** Decides for each request of any kind whether it gets no response and takes effect two seconds later. */
	isRequestDelayed?: () => boolean;
	/** Whether no process listens, so that connections are refused. */
	isRefusing?: boolean;
};

export type FakeServer = {
	description: BackendServerDescription;
	fault: FakeFault;
	runs: Map<string, FakeRun>;
	ends: EndedRun[];
	endCount: number;
	highestToken: number;
	highestRuns: Map<string, number>;
	leaseEndMs: number;
	/** The time at which the backend server's clock was 0. */
	clockOriginMs: number;
	pendingRenewals: Set<() => void>;
	/** Breaks the connections on which responses are awaited. */
	breakConnections: Set<() => void>;
};
