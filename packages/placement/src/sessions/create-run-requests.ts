import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import type {StartWindow} from '../lag/create-start-window.js';
import type {
	BackendServerClient, RejectionReason, RequestTarget, StartStopResponse, UnansweredResponse,
} from '../ports/backend-server-client.js';
import type {SessionState} from './backend-session.js';
import type {CallTimeouts} from './create-call-timeouts.js';
import type {CopiedResponse, RequestResender} from './create-request-resender.js';
import {getRejectedStartEnd} from './get-run-end.js';
import type {Run} from './run.js';
import type {RunTable} from './run-table.js';

/** Copies of a start or stop that are sent before a claim determines its effect. */
const minCopyCount = 3;

/** Sends the start and stop requests of a session, and handles their responses. */
export type RunRequests = {
	/** Requests the start of a run that the table contains. */
	sendStart(run: Run, payload: string): void;
	/** Requests the stop of a run again, whose stop was requested before. */
	sendStop(run: Run): void;
	/** Stops the run of a task, if there is one that is not being stopped. */
	stop(taskName: string): void;
};

export type RunRequestsOptions = {
	backendServerClient: BackendServerClient;
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
	callTimeouts: CallTimeouts;
	resender: RequestResender;
	startWindow: StartWindow;
	runTable: RunTable;
	getTarget: () => RequestTarget;
	getToken: () => number;
	/** Gets the end of the lease that a start requests, on the backend server's clock. */
	getLeaseEndMs: () => number;
	/** Gets the number of the current claim. A response to a request of an earlier claim says nothing about the current one. */
	getClaim: () => number;
	getState: () => SessionState;
	isClosed: () => boolean;
	/** Called when the backend server has accepted the stop of a run, which then takes a moment to end. */
	onStopAccepted: (run: Run) => void;
	/** Called when only a further claim can determine the effect of a request. */
	onClaimNeeded: (reason: string) => void;
	/** Called when the backend server no longer serves this session. */
	onRejected: (reason: 'fenced' | 'other-incarnation') => void;
};

/**
 * Creates the requests of a session.
 * @param options - The state of the session and the ports.
 *
 * @example
 * ```ts
 * const requests = createRunRequests(options);
 * requests.sendStart(runTable.addRun({taskName: 'job.0.0.0', runNumber: 1, needs}), payload);
 * requests.stop('job.0.0.0');
 * ```
 */
export function createRunRequests(options: RunRequestsOptions): RunRequests {
	const {backendServerClient, timers, events, metrics, callTimeouts, resender, startWindow, runTable, getTarget, getToken, getClaim, isClosed} = options;

	/** Records the response time of a request that the backend server answers immediately. */
	async function measureResponseTime(request: Promise<StartStopResponse>): Promise<StartStopResponse> {
		const {serverId} = getTarget();
		const sentAtMs = timers.getNowMs();
		const response = await request;
		const durationMs = timers.getNowMs() - sentAtMs;
		if (response.outcome === 'unanswered') {
			startWindow.addUnanswered(serverId, durationMs);
		} else {
			callTimeouts.addResponse(durationMs);
			startWindow.addResponse(serverId, durationMs);
		}

		return response;
	}

	async function start(run: Run, payload: string): Promise<void> {
		const sentClaim = getClaim();
		startWindow.addStart();
		const copied = await resender.send<StartStopResponse>({
			serverId: getTarget().serverId,
			send: async timeoutMs => measureResponseTime(backendServerClient.start(getTarget(), {
				taskName: run.taskName,
				runNumber: run.runNumber,
				payload,
				leaseEndMs: options.getLeaseEndMs(),
				token: getToken(),
			}, timeoutMs)),
			isNeeded: () => !isClosed() && runTable.hasRun(run) && run.state === 'starting' && sentClaim === getClaim(),
			minCopyCount,
		});
		startWindow.endStart();
		if (!isClosed() && runTable.hasRun(run)) {
			handleStartResponse(run, copied, sentClaim);
		}
	}

	function handleStartResponse(run: Run, {response, isRepeated}: CopiedResponse<StartStopResponse>, sentClaim: number): void {
		if (response.outcome === 'accepted') {
			run.state = run.state === 'starting' ? 'running' : run.state;
			run.serverStartMs = response.clockMs;
			return;
		}

		if (response.outcome === 'unanswered') {
			handleUnansweredStart(run, {response, isRepeated}, sentClaim);
			return;
		}

		if (isRepeated && response.reason !== 'other-incarnation') {
			handleRepeatedStartRejection(run, response.reason, sentClaim);
		} else {
			handleStartRejection(run, response.reason, sentClaim);
		}
	}

	/** A request of which each copy was refused a connection never reached the backend server, so that nothing has started. */
	function handleUnansweredStart(run: Run, {response, isRepeated}: {response: UnansweredResponse; isRepeated: boolean}, sentClaim: number): void {
		metrics.increment('start-unanswered');
		callTimeouts.addUnansweredRequest();
		if (sentClaim === getClaim()) {
			options.onClaimNeeded(`a start went unanswered: ${response.reason}`);
		}

		if (response.isRefused === true && !isRepeated) {
			runTable.endRun(run, 'not-started');
		}
	}

	/** The rejection of one copy does not tell whether another one has started the run. */
	function handleRepeatedStartRejection(run: Run, reason: RejectionReason, sentClaim: number): void {
		if (sentClaim !== getClaim()) {
			return;
		}

		if (reason === 'fenced') {
			options.onRejected(reason);
		} else {
			options.onClaimNeeded(`a copy of the start of ${run.taskName} was rejected: ${reason}`);
		}
	}

	function handleStartRejection(run: Run, reason: RejectionReason, sentClaim: number): void {
		events.write('start-rejected', {
			task: run.taskName, run: run.runNumber, server: getTarget().serverId, reason, claim: sentClaim,
		});
		runTable.endRun(run, getRejectedStartEnd(reason));
		if ((reason === 'fenced' && sentClaim === getClaim()) || reason === 'other-incarnation') {
			options.onRejected(reason);
		} else if (reason === 'lease-over') {
			options.onClaimNeeded('the estimate of the backend server clock is too inaccurate');
		}
	}

	async function requestStop(run: Run): Promise<void> {
		const sentClaim = getClaim();
		const request = {taskName: run.taskName, runNumber: run.runNumber, token: getToken()};
		const {response} = await resender.send<StartStopResponse>({
			serverId: getTarget().serverId,
			send: async timeoutMs => measureResponseTime(backendServerClient.stop(getTarget(), request, timeoutMs)),
			isNeeded: () => !isClosed() && runTable.hasRun(run) && sentClaim === getClaim(),
			minCopyCount,
		});
		if (isClosed() || !runTable.hasRun(run) || sentClaim !== getClaim()) {
			return;
		}

		if (response.outcome === 'accepted') {
			options.onStopAccepted(run);
		} else if (response.outcome === 'unanswered') {
			options.onClaimNeeded(`a stop went unanswered: ${response.reason}`);
		} else {
			options.onClaimNeeded(`a stop was rejected: ${response.reason}`);
		}
	}

	return {
		sendStart(run, payload) {
			void start(run, payload);
		},
		sendStop(run) {
			void requestStop(run);
		},
		stop(taskName) {
			const run = runTable.getRuns().get(taskName);
			if (run === undefined || run.state === 'stopping') {
				return;
			}

			run.state = 'stopping';
			if (options.getState() === 'held') {
				void requestStop(run);
			}
		},
	};
}
