import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import type {
	BackendServerClient, StartStopResponse, RequestTarget, RenewResponse,
} from '../ports/backend-server-client.js';
import type {BackendServerDescription} from '../servers/backend-server-description.js';
import type {BackendSession, SessionListener, SessionState} from './backend-session.js';
import {getFencingToken, mostClaimsPerTerm} from './fencing-token.js';
import type {CallWatch} from './create-call-watch.js';
import {createLeaseClock} from './lease-clock.js';
import {getRejectedEnd} from './get-run-end.js';
import type {Run} from './run.js';
import {createRunBook} from './run-book.js';
import {
	claimsUntilSilent, leaseMs, longestClaimPauseMs, longestClaimTimeoutMs, shortestClaimPauseMs, takeoverMarginMs,
	unclaimedRunGraceMs,
} from './session-timings.js';
import {getFreeRoom} from './get-free-room.js';

export type BackendSessionOptions = {
	description: BackendServerDescription;
	/** The term of this placer and its own number, for the fencing tokens. */
	term: number;
	daemonNumber: number;
	orders: BackendServerClient;
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
	/** How long to wait, from what all sessions have seen. */
	callWatch: CallWatch;
	listener: SessionListener;
};

/**
 * Creates the session of a backend server and claims it. A claim is a renewal with a token higher than any before:
 * once it is answered, orders with lower tokens do nothing, and the answer lists everything that runs. It settles
 * the fate of an order that went unanswered in the same way as it takes over from an earlier placer.
 * @param options - The backend server and the ports.
 */
export function createBackendSession(options: BackendSessionOptions): BackendSession {
	const {term, daemonNumber, orders, timers, events, metrics, callWatch, listener} = options;
	const book = createRunBook(() => timers.getNowMs(), (run, how) => {
		listener.onRunEnd(session, run, how);
	});
	const clock = createLeaseClock(leaseMs);
	let {description} = options;
	let state: SessionState = 'claiming';
	let claim = -1;
	let unansweredClaims = 0;
	let isClosed = false;

	function getTarget(): RequestTarget {
		return {host: description.host, port: description.port, serverId: description.id};
	}

	function getToken(): number {
		return getFencingToken({term, claim, daemonNumber});
	}

	function setState(next: SessionState, reason: string): void {
		if (state === next) {
			return;
		}

		const previous = state;
		state = next;
		events.write('backend-session-changed', {
			server: description.id, previous, state: next, reason, term, claim, runs: book.getRuns().size,
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

		if (claim >= mostClaimsPerTerm) {
			setState('silent', 'claims of the term are used up');
			return;
		}

		claim++;
		if (state === 'held') {
			setState('claiming', reason);
		}

		void sendClaim(claim, reason);
	}

	/** Each unanswered claim doubles the time for the next one. */
	function getClaimTimeoutMs(): number {
		return Math.min(longestClaimTimeoutMs, callWatch.getOrderTimeoutMs() * (2 ** unansweredClaims));
	}

	/** A claim gives no lease: while claims go unanswered, the end of the earlier leases must come nearer. */
	async function sendClaim(ownClaim: number, reason: string): Promise<void> {
		metrics.increment('server-claimed');
		const answer = await orders.renew(getTarget(), {token: getToken(), acknowledgedEndNumber: book.getAcknowledgedEnd()}, getClaimTimeoutMs());
		if (isClosed || ownClaim !== claim) {
			return;
		}

		if (answer.outcome === 'accepted') {
			handleClaimed(answer);
		} else if (answer.outcome === 'rejected') {
			handleRejection(answer.reason);
		} else {
			handleClaimUnanswered(ownClaim, reason, answer.reason);
		}
	}

	function handleClaimUnanswered(ownClaim: number, reason: string, failure: string): void {
		unansweredClaims++;
		if (unansweredClaims >= claimsUntilSilent) {
			setState('silent', failure);
		}

		endRunsAfterLease();
		const pauseMs = Math.min(longestClaimPauseMs, shortestClaimPauseMs * (2 ** (unansweredClaims - 1)));
		// No order was sent with this token, so it serves again.
		timers.addTimer(pauseMs, () => {
			if (!isClosed && ownClaim === claim && state !== 'fenced') {
				void sendClaim(ownClaim, reason);
			}
		});
	}

	/**
	 * Runs on a backend server that does not answer are over once every lease sent to it is over, and one that another
	 * placer may have given in the meantime.
	 */
	function endRunsAfterLease(): void {
		if (timers.getNowMs() > clock.getLeasesOverAtMs() + takeoverMarginMs) {
			book.endAllRuns('lost');
		}
	}

	function handleRejection(reason: 'fenced' | 'unhealthy' | 'other-incarnation' | 'malformed'): void {
		if (reason === 'fenced') {
			setState('fenced', 'another placer holds a higher token');
		} else if (reason === 'other-incarnation') {
			endIncarnation();
		} else {
			handleClaimUnanswered(claim, reason, reason);
		}
	}

	/** Nothing survives the incarnation that it ran on. */
	function endIncarnation(): void {
		book.endAllRuns('lost');
		setState('closed', 'another incarnation answered');
	}

	function handleClaimed(answer: Extract<RenewResponse, {outcome: 'accepted'}>): void {
		if (answer.bornMs !== undefined && answer.bornMs > description.bornMs) {
			endIncarnation();
			return;
		}

		unansweredClaims = 0;
		clock.addReading(answer.clockMs, timers.getNowMs());
		book.addEnds(answer.endedRuns);
		book.reconcile(answer.activeRuns, answer.clockMs);
		stopAgain();
		setState('held', 'claim answered');
		listener.onHeld(session);
		stopUnknownRunsLater();
		void renewOnce(claim);
	}

	function stopAgain(): void {
		for (const run of book.getStoppingRuns()) {
			void sendStop(run);
		}
	}

	function stopUnknownRunsLater(): void {
		if (book.getUnknownRuns().length === 0) {
			return;
		}

		timers.addTimer(unclaimedRunGraceMs, () => {
			for (const run of book.getUnknownRuns()) {
				stop(run.taskName);
			}
		});
	}

	/** Each renewal acknowledges the ends of the one before and asks for the next ones. */
	async function renewOnce(ownClaim: number): Promise<void> {
		const waitMs = callWatch.getRenewWaitMs();
		const answer = await orders.renew(getTarget(), {
			token: getToken(), acknowledgedEndNumber: book.getAcknowledgedEnd(), leaseEndMs: getLeaseEndMs(), waitMs,
		}, waitMs + callWatch.getOrderTimeoutMs());
		if (isClosed || ownClaim !== claim) {
			return;
		}

		handleRenewed(answer);
		if (state === 'held') {
			void renewOnce(ownClaim);
		}
	}

	function handleRenewed(answer: RenewResponse): void {
		if (answer.outcome === 'rejected' && answer.reason !== 'unhealthy') {
			handleRejection(answer.reason);
			return;
		}

		if (answer.outcome !== 'accepted') {
			metrics.increment('server-renewal-unanswered');
			callWatch.addUnansweredRenewal();
			startClaim(`a renewal went unanswered: ${answer.reason}`);
			return;
		}

		clock.addReading(answer.clockMs, timers.getNowMs());
		book.addEnds(answer.endedRuns);
		book.setProgress(answer.activeRuns, answer.clockMs);
	}

	/** Measures how long an order takes that is answered at once. */
	async function time(order: Promise<StartStopResponse>): Promise<StartStopResponse> {
		const sentAtMs = timers.getNowMs();
		const answer = await order;
		if (answer.outcome !== 'unanswered') {
			callWatch.addAnswer(timers.getNowMs() - sentAtMs);
		}

		return answer;
	}

	async function sendStart(run: Run, payload: string): Promise<void> {
		const sentClaim = claim;
		const answer = await time(orders.start(getTarget(), {
			taskName: run.taskName,
			runNumber: run.runNumber,
			payload,
			leaseEndMs: getLeaseEndMs()!,
			token: getToken(),
		}, callWatch.getOrderTimeoutMs()));
		if (isClosed || !book.hasRun(run)) {
			return;
		}

		handleStartAnswer(run, answer, sentClaim);
	}

	function handleStartAnswer(run: Run, answer: StartStopResponse, sentClaim: number): void {
		if (answer.outcome === 'accepted') {
			run.state = run.state === 'starting' ? 'running' : run.state;
			run.serverStartMs = answer.clockMs;
			return;
		}

		if (answer.outcome === 'unanswered') {
			metrics.increment('start-unanswered');
			callWatch.addUnansweredOrder();
			if (sentClaim === claim) {
				startClaim(`a start went unanswered: ${answer.reason}`);
			}

			return;
		}

		handleStartRejection(run, answer.reason, sentClaim);
	}

	function handleStartRejection(run: Run, reason: Extract<StartStopResponse, {outcome: 'rejected'}>['reason'], sentClaim: number): void {
		events.write('start-rejected', {
			task: run.taskName, run: run.runNumber, server: description.id, reason, claim: sentClaim,
		});
		book.endRun(run, getRejectedEnd(reason));
		if (reason === 'fenced' && sentClaim === claim) {
			setState('fenced', 'another placer holds a higher token');
		} else if (reason === 'other-incarnation') {
			endIncarnation();
		} else if (reason === 'lease-over') {
			startClaim('the clock of the backend server is not known well enough');
		}
	}

	async function sendStop(run: Run): Promise<void> {
		const sentClaim = claim;
		const order = {taskName: run.taskName, runNumber: run.runNumber, token: getToken()};
		const answer = await time(orders.stop(getTarget(), order, callWatch.getOrderTimeoutMs()));
		if (isClosed || !book.hasRun(run) || sentClaim !== claim) {
			return;
		}

		if (answer.outcome === 'unanswered') {
			startClaim(`a stop went unanswered: ${answer.reason}`);
		} else if (answer.outcome === 'rejected') {
			startClaim(`a stop was rejected: ${answer.reason}`);
		}
	}

	function stop(taskName: string): void {
		const run = book.getRuns().get(taskName);
		if (run === undefined || run.state === 'stopping') {
			return;
		}

		run.state = 'stopping';
		if (state === 'held') {
			void sendStop(run);
		}
	}

	const session: BackendSession = {
		getDescription: () => description,
		setDescription(next) {
			description = next;
		},
		getState: () => state,
		hasUsedUpClaims: () => claim >= mostClaimsPerTerm && state === 'silent',
		getRuns: book.getRuns,
		findRun: taskName => book.getRuns().get(taskName),
		getFreeRoom: () => getFreeRoom(description, book.getRuns().values()),
		start({payload, ...start}) {
			void sendStart(book.addRun(start), payload);
		},
		stop,
		close() {
			isClosed = true;
			orders.disconnect(getTarget());
		},
	};
	startClaim('first contact');
	return session;
}
