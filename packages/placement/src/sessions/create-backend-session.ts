import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import type {StartWindow} from '../lag/create-start-window.js';
import type {
	BackendServerClient, RequestTarget, RenewResponse, UnansweredResponse,
} from '../ports/backend-server-client.js';
import type {BackendServerDescription} from '../servers/backend-server-description.js';
import type {BackendSession, SessionListener, SessionState} from './backend-session.js';
import {getFencingToken} from './fencing-token.js';
import type {CallTimeouts} from './create-call-timeouts.js';
import type {RequestResender} from './create-request-resender.js';
import type {ClaimWindow} from './create-claim-window.js';
import {createClaims} from './create-claims.js';
import type {LossEstimator} from './loss-estimator.js';
import {createRenewals} from './create-renewals.js';
import {createLeaseClock} from './lease-clock.js';
import {createRemainingTimes} from './remaining-times.js';
import {createRunRequests} from './create-run-requests.js';
import {createRunTable} from './run-table.js';
import {createUnknownRunWatch, type UnknownRunStopReason} from './create-unknown-run-watch.js';
import type {Run} from './run.js';
import {unansweredClaimsUntilSilent, leaseMs, takeoverMarginMs} from './session-timings.js';
import {getFreeCapacity} from './get-free-capacity.js';

export type BackendSessionOptions = {
	description: BackendServerDescription;
	/** The term of the placer and the number of its daemon, for the fencing tokens. */
	term: number;
	daemonNumber: number;
	/** The number of the first claim: above those of the session of an earlier incarnation, whose orders may still arrive. */
	firstClaim: number;
	backendServerClient: BackendServerClient;
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
	/** The timeouts, shared by all sessions of the placer. */
	callTimeouts: CallTimeouts;
	/** Sends copies of unanswered requests, for all sessions of the placer. */
	resender: RequestResender;
	/** The share of lost requests, measured over all sessions of the placer. */
	lossEstimator: LossEstimator;
	/** The limit on claims in flight, shared by all sessions of the placer. */
	claimWindow: ClaimWindow;
	/** The limit on starts in flight, shared by all sessions of the placer. */
	startWindow: StartWindow;
	/** Whether the job of a task that an earlier placer started may still be submitted to this one. */
	isRunAwaited: (taskName: string) => boolean;
	listener: SessionListener;
};

/**
 * Creates the session of a backend server and claims it. A claim is a renewal with a higher token than any before: once
 * the backend server has responded, it rejects requests with lower tokens, and the response lists all its runs. A claim
 * therefore serves both to take over from an earlier placer and to determine the effect of an unanswered request.
 * @param options - The backend server and the ports.
 */
export function createBackendSession(options: BackendSessionOptions): BackendSession {
	const {term, daemonNumber, backendServerClient, timers, events, metrics, callTimeouts, resender, lossEstimator, claimWindow, startWindow, listener} = options;
	const runTable = createRunTable(() => timers.getNowMs(), {
		onRunAdded(run) {
			listener.onRunAdded(session, run);
		},
		onRunEnd(run, end) {
			listener.onRunEnd(session, run, end);
		},
	});
	const clock = createLeaseClock(leaseMs);
	const requests = createRunRequests({
		...options,
		runTable,
		getTarget,
		getToken,
		getLeaseEndMs: () => getLeaseEndMs()!,
		getClaim: () => claims.getNumber(),
		getState: () => state,
		isClosed: () => isClosed,
		onStopAccepted(run) {
			settleRun(() => {
				runTable.confirmStop(run);
			});
		},
		onClaimNeeded: startClaim,
		onRejected: handleRejection,
	});
	const renewals = createRenewals({
		...options,
		serverId: options.description.id,
		sendRenewal,
		hasRuns: () => runTable.getRuns().size > 0,
		isHeld: () => !isClosed && state === 'held',
		getClaim: () => claims.getNumber(),
		onResponse: handleRenewed,
	});
	const unknownRunWatch = createUnknownRunWatch({
		...options, runTable, isClosed: () => isClosed, onStop: stopUnknownRuns,
	});
	let {description} = options;
	const remainingTimes = createRemainingTimes(timers, description);
	let state: SessionState = 'claiming';
	const {firstClaim} = options;
	const claims = createClaims({
		...options,
		getTarget,
		getRequest: () => ({token: getToken(), acknowledgedEndNumber: runTable.getAcknowledgedEndNumber()}),
		isOpen: () => !isClosed && state !== 'fenced',
		isClosed: () => isClosed,
		onResponse: handleClaimResponse,
	});
	let isCrashSuspected = false;
	let hasNewerIncarnation = false;
	let isEndExpected = false;
	let isVerifying = false;
	let isClosed = false;

	function getTarget(): RequestTarget {
		return {host: description.host, port: description.port, serverId: description.id};
	}

	function getToken(): number {
		return getFencingToken({term, claim: claims.getNumber(), daemonNumber});
	}

	function setState(next: SessionState, reason: string): void {
		if (state === next) {
			return;
		}

		const previous = state;
		state = next;
		events.write('backend-session-changed', {
			server: description.id, previous, state: next, reason, term, claim: claims.getNumber(), runs: runTable.getRuns().size,
		});
		listener.onStateChange(session);
	}

	function getLeaseEndMs(): number | undefined {
		const serverTimeMs = clock.findServerTimeMs(timers.getNowMs());
		if (serverTimeMs === undefined) {
			return undefined;
		}

		const leaseEndMs = Math.floor(serverTimeMs + leaseMs);
		clock.addLease(leaseEndMs);
		return leaseEndMs;
	}

	function startClaim(reason: string): void {
		if (isClosed || state === 'fenced') {
			return;
		}

		if (claims.isExhausted()) {
			setState('silent', 'claims of the term are exhausted');
			return;
		}

		if (state === 'held') {
			setState('claiming', reason);
		}

		claims.start(reason);
	}

	function handleClaimResponse(response: RenewResponse, reason: string): void {
		if (response.outcome === 'accepted') {
			handleClaimAccepted(response);
		} else if (response.outcome === 'rejected') {
			handleRejection(response.reason);
		} else {
			suspectCrashIfRefused(response);
			handleClaimUnanswered(reason, response.reason);
		}
	}

	/** A backend server that deregistered, or was never held, ends without a crash as far as this placer knows. */
	function suspectCrashIfRefused({isRefused}: UnansweredResponse): void {
		if (isRefused === true && !isCrashSuspected && !isEndExpected && clock.findServerTimeMs(timers.getNowMs()) !== undefined) {
			isCrashSuspected = true;
			listener.onCrashSuspected(session);
		}
	}

	function handleClaimUnanswered(reason: string, failureReason: string): void {
		isVerifying = false;
		const unansweredCount = claims.retryLater(reason);
		if (unansweredCount >= unansweredClaimsUntilSilent) {
			setState('silent', failureReason);
		}

		endRunsIfOver();
	}

	/**
	 * Runs on an unresponsive backend server have certainly ended once every lease sent to it has expired, and also any
	 * lease that another placer may have granted in the meantime. Those on one that has deregistered ended with it.
	 */
	function endRunsIfOver(): void {
		if (isEndExpected || timers.getNowMs() > clock.getLeaseExpiryMs() + takeoverMarginMs) {
			runTable.endAllRuns('lost');
		}
	}

	function handleRejection(reason: 'fenced' | 'unhealthy' | 'other-incarnation' | 'malformed'): void {
		if (reason === 'fenced') {
			setState('fenced', 'another placer holds a higher token');
		} else if (reason === 'other-incarnation') {
			endIncarnation();
		} else {
			handleClaimUnanswered(reason, reason);
		}
	}

	/** Runs do not outlive their incarnation. */
	function endIncarnation(): void {
		isVerifying = false;
		runTable.endAllRuns('lost');
		setState('closed', 'another incarnation responded');
		listener.onCrashResolved(session, true);
	}

	function handleClaimAccepted(response: Extract<RenewResponse, {outcome: 'accepted'}>): void {
		if (response.bornMs !== undefined && response.bornMs > description.bornMs) {
			hasNewerIncarnation = true;
			endIncarnation();
			return;
		}

		if (response.bornMs === description.bornMs) {
			listener.onCrashResolved(session, false);
		}

		isVerifying = false;
		isCrashSuspected = false;
		clock.addReading(response.clockMs, timers.getNowMs());
		// An earlier placer may have granted a lease until now, while this one grants none as long as it does not know each run.
		clock.addLease(response.clockMs + leaseMs);
		runTable.addEnds(response.endedRuns);
		runTable.reconcile(response.activeRuns, response.clockMs);
		resendStops();
		setState('held', 'claim accepted');
		listener.onHeld(session);
		unknownRunWatch.watchRuns();
		renewals.startClaim();
	}

	function resendStops(): void {
		for (const run of runTable.getStoppingRuns()) {
			requests.sendStop(run);
		}
	}

	function stopUnknownRuns(runs: readonly Run[], reason: UnknownRunStopReason): void {
		events.write('unknown-runs-stopped', {
			server: description.id, reason, term, claim: claims.getNumber(), runs: runs.length, otherRuns: runTable.getRuns().size - runs.length,
		});
		for (const run of runs) {
			requests.stop(run.taskName);
		}
	}

	/** Makes a change after which a run need no longer keep the others from a lease, and grants it without delay once none does. */
	function settleRun(change: () => void): void {
		const wasPermitted = runTable.isLeasePermitted();
		change();
		if (!wasPermitted && runTable.isLeasePermitted() && runTable.hasKnownRuns()) {
			renewals.renewNow();
		}
	}

	/**
	 * Sends a renewal, with a lease only if every run is known. Otherwise each of several placers in a row would lengthen runs that none of
	 * them knows, while the placer that knows them counts them as over when its own last lease has expired.
	 */
	async function sendRenewal(waitMs: number | undefined, timeoutMs: number): Promise<RenewResponse> {
		return backendServerClient.renew(getTarget(), {
			token: getToken(), acknowledgedEndNumber: runTable.getAcknowledgedEndNumber(), leaseEndMs: runTable.isLeasePermitted() ? getLeaseEndMs() : undefined, waitMs,
		}, timeoutMs);
	}

	function handleRenewed(response: RenewResponse): void {
		if (response.outcome === 'rejected' && response.reason !== 'unhealthy') {
			handleRejection(response.reason);
			return;
		}

		if (response.outcome !== 'accepted') {
			if (response.outcome === 'unanswered') {
				suspectCrashIfRefused(response);
			}

			startClaim(`a renewal went unanswered: ${response.reason}`);
			return;
		}

		clock.addReading(response.clockMs, timers.getNowMs());
		runTable.addEnds(response.endedRuns);
		runTable.setProgress(response.activeRuns, response.clockMs);
	}

	const session: BackendSession = {
		getDescription: () => description,
		setDescription(next) {
			description = next;
			remainingTimes.setDescription(next);
		},
		getColdUntilMs: remainingTimes.getColdUntilMs,
		findGoneAtMs: remainingTimes.findGoneAtMs,
		getState: () => state,
		isFirstClaimPending: () => state === 'claiming' && claims.getNumber() === firstClaim,
		// Nothing runs on an incarnation that has ended, but a newer one under the same id is not claimed yet.
		areEarlierRunsKnown: () => !hasNewerIncarnation && (state === 'closed' || clock.findServerTimeMs(timers.getNowMs()) !== undefined),
		verify() {
			if (state === 'held') {
				isVerifying = true;
				startClaim('a description of another incarnation has arrived');
			}
		},
		mayStillRun() {
			const isUnresponsive = (state === 'claiming' || state === 'silent') && !isCrashSuspected;
			return state === 'held' || (isUnresponsive && (isVerifying || runTable.getRuns().size > 0));
		},
		hasExhaustedClaims: () => claims.isExhausted() && state === 'silent',
		getNextClaim: () => claims.getNumber() + 1,
		getRuns: runTable.getRuns,
		findRun: taskName => runTable.getRuns().get(taskName),
		adoptRun(run, needs) {
			settleRun(() => {
				runTable.adoptRun(run, needs);
			});
		},
		getFreeCapacity: () => getFreeCapacity(description, runTable.getRuns().values()),
		start({payload, ...start}) {
			requests.sendStart(runTable.addRun(start), payload);
			renewals.startMissing();
		},
		stop: requests.stop,
		hurryClaim() {
			if (state === 'silent') {
				claims.hurry();
			}
		},
		expectEnd() {
			isEndExpected = true;
			if (state === 'silent') {
				endRunsIfOver();
			}
		},
		close() {
			isClosed = true;
			backendServerClient.disconnect(getTarget());
		},
	};
	startClaim('initial claim');
	return session;
}
