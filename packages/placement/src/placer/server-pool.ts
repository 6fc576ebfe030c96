import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import {createServerHealth, type ServerHealth} from '../health/server-health.js';
import type {StartWindow} from '../lag/create-start-window.js';
import type {BackendServerClient, RequestTarget} from '../ports/backend-server-client.js';
import type {BackendServerDescription, ServerIncarnation} from '../servers/backend-server-description.js';
import {createCallTimeouts} from '../sessions/create-call-timeouts.js';
import {createClaimWindow} from '../sessions/create-claim-window.js';
import {createRequestResender} from '../sessions/create-request-resender.js';
import {createLossEstimator} from '../sessions/loss-estimator.js';
import type {BackendSession, SessionListener} from '../sessions/backend-session.js';
import {createBackendSession} from '../sessions/create-backend-session.js';
import {getFencingToken} from '../sessions/fencing-token.js';
import type {Run} from '../sessions/run.js';
import {createIncarnationDisputes} from './incarnation-disputes.js';
import {createRunIndex} from './run-index.js';

export type PooledServer = {
	session: BackendSession;
	health: ServerHealth;
};

/** On how many backend servers the placer knows every run. */
export type ServerKnowledge = {
	/** The backend servers of the pool. */
	servers: number;
	/** Those of them that are claimed. */
	heldServers: number;
	/** Other backend servers, which the placer must not claim. */
	unclaimableServers: number;
};

/** The backend servers of one placer. */
export type ServerPool = {
	/** Sets the backend servers to claim. One that is no longer listed is removed as soon as nothing runs on it. */
	setServers(descriptions: readonly BackendServerDescription[], unclaimableCount: number): void;
	findServer(serverId: string): PooledServer | undefined;
	getServers(): Iterable<PooledServer>;
	/** Whether every run that earlier placers have started on an incarnation is known, or has ended with it, and they can start no other. */
	hasTakenOver(server: ServerIncarnation): boolean;
	/** Whether a backend server has left several claims unanswered. */
	isSilent(serverId: string): boolean;
	/** Whether the placer has not yet claimed some backend server on which tasks of a service may run, or must not claim it. */
	hasUnclaimed(service: string): boolean;
	/** Whether backend servers wait for the answer to the first claim of this placer, and may still give it in time. */
	hasFirstClaimsPending(): boolean;
	/** Asks all silent backend servers now for what runs there. */
	hurryClaims(): void;
	/** Gets how much the pool knows, for logs. */
	getKnowledge(): ServerKnowledge;
	/** Finds the run of a task on any backend server. */
	findRun(taskName: string): {server: PooledServer; run: Run} | undefined;
	/** Whether so many requests go unanswered that single backend servers are not to blame. */
	isLossWidespread(): boolean;
	close(): void;
};

export type ServerPoolOptions = {
	term: number;
	daemonNumber: number;
	backendServerClient: BackendServerClient;
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
	startWindow: StartWindow;
	/** Whether the job of a task that an earlier placer started may still be submitted to this one. */
	isRunAwaited: (taskName: string) => boolean;
	listener: Omit<SessionListener, 'onRunAdded'>;
	/** Called when a backend server has shown that it still is the incarnation in use, although another one was described. */
	onDescriptionRefuted: (known: BackendServerDescription, refuted: BackendServerDescription) => void;
	/** Called when an incarnation was added or removed. */
	onServersChange: () => void;
	/** Called with the runs of a backend server that was removed. */
	onRunsLost: (session: BackendSession, runs: readonly Run[]) => void;
};

/**
 * Creates an empty pool.
 * @param options - The placer's term and ports.
 */
export function createServerPool(options: ServerPoolOptions): ServerPool {
	const {term, daemonNumber, backendServerClient, timers, events, metrics, startWindow, onServersChange, onRunsLost} = options;
	const servers = new Map<string, PooledServer>();
	const runIndex = createRunIndex<PooledServer>();
	const listener: SessionListener = {
		...options.listener,
		onRunAdded(session, run) {
			runIndex.addRun(run, servers.get(session.getDescription().id)!);
		},
		onRunEnd(session, run, end) {
			runIndex.removeRun(run);
			options.listener.onRunEnd(session, run, end);
		},
		onHeld(session) {
			disputes.handleResponse(session);
			options.listener.onHeld(session);
		},
		onCrashSuspected(session) {
			disputes.handleEnd(session);
			options.listener.onCrashSuspected(session);
		},
		onCrashResolved(session, hasCrashed) {
			if (hasCrashed) {
				disputes.handleEnd(session);
			} else {
				disputes.handleSameIncarnation(session);
			}

			options.listener.onCrashResolved(session, hasCrashed);
		},
	};
	const disputes = createIncarnationDisputes({
		timers,
		findBornMs,
		onRefuted: options.onDescriptionRefuted,
		onConfirmed(description) {
			const known = servers.get(description.id);
			if (known !== undefined && known.session.getDescription().bornMs !== description.bornMs) {
				replaceServer(description, known);
			}
		},
	});
	const callTimeouts = createCallTimeouts(timers, startWindow.isLimited);
	const claimWindow = createClaimWindow(startWindow.isLimited);
	const lossEstimator = createLossEstimator(timers, callTimeouts.areResponsesSlow);
	const resender = createRequestResender({
		timers, metrics, callTimeouts, lossEstimator,
	});
	let unclaimableCount = 0;

	/** Asks with the token of the session, which does not keep that one from being used at another address of the same process. */
	async function findBornMs({id, host, port}: BackendServerDescription, session: BackendSession): Promise<number | undefined> {
		const target = {host, port, serverId: id};
		const token = getFencingToken({term, daemonNumber, claim: session.getNextClaim() - 1});
		const response = await backendServerClient.renew(target, {token, acknowledgedEndNumber: 0}, callTimeouts.getRequestTimeoutMs());
		if (!isInUse(target)) {
			backendServerClient.disconnect(target);
		}

		return response.outcome === 'accepted' ? response.bornMs : undefined;
	}

	function isInUse({host, port, serverId}: RequestTarget): boolean {
		const description = servers.get(serverId)?.session.getDescription();
		return description?.host === host && description.port === port;
	}

	function addServer(description: BackendServerDescription, firstClaim = 0): void {
		const health = createServerHealth(timers, pauseMs => {
			metrics.increment('backend-server-ejected');
			events.write('backend-server-ejected', {server: description.id, pauseMs});
		});
		servers.set(description.id, {
			session: createBackendSession({
				...options, listener, callTimeouts, resender, lossEstimator, claimWindow, description, firstClaim,
			}), health,
		});
		onServersChange();
	}

	function removeServer(serverId: string, server: PooledServer): void {
		const {session} = server;
		servers.delete(serverId);
		onServersChange();
		runIndex.removeServer(server);
		disputes.removeServer(serverId);
		const runs = [...session.getRuns().values()];
		session.close();
		lossEstimator.removeServer(serverId);
		onRunsLost(session, runs);
	}

	/** Removes a backend server that is no longer listed; one that has deregistered while tasks run on it is kept until they have ended. */
	function removeUnlistedServer(serverId: string, server: PooledServer): void {
		const {session} = server;
		if (session.getRuns().size === 0 || session.getState() === 'closed' || session.getState() === 'fenced') {
			removeServer(serverId, server);
			return;
		}

		const description = session.getDescription();
		if (description.state !== 'draining') {
			session.setDescription({...description, state: 'draining'});
		}

		session.expectEnd();
	}

	function updateServer(description: BackendServerDescription, known: PooledServer): void {
		if (known.session.getDescription().bornMs === description.bornMs) {
			known.session.setDescription(description);
		} else if (known.session.mayStillRun()) {
			disputes.addDescription(description, known.session);
		} else {
			replaceServer(description, known);
		}
	}

	function replaceServer(description: BackendServerDescription, known: PooledServer): void {
		disputes.removeServer(description.id);
		const firstClaim = known.session.getNextClaim();
		removeServer(description.id, known);
		listener.onCrashResolved(known.session, true);
		addServer(description, firstClaim);
	}

	return {
		setServers(descriptions, newUnclaimableCount) {
			unclaimableCount = newUnclaimableCount;
			const ids = new Set(descriptions.map(({id}) => id));
			for (const [serverId, server] of servers) {
				if (!ids.has(serverId)) {
					removeUnlistedServer(serverId, server);
				}
			}

			for (const description of descriptions) {
				const known = servers.get(description.id);
				if (known === undefined) {
					addServer(description);
				} else {
					updateServer(description, known);
				}
			}
		},
		findServer: serverId => servers.get(serverId),
		getServers: () => servers.values(),
		hasTakenOver({id, bornMs}) {
			const session = servers.get(id)?.session;
			return session !== undefined && session.getDescription().bornMs >= bornMs && session.getState() !== 'fenced' && session.areEarlierRunsKnown();
		},
		isSilent: serverId => servers.get(serverId)?.session.getState() === 'silent',
		hasUnclaimed: service => unclaimableCount > 0 || [...servers.values()].some(({session}) => session.getDescription().service === service && !session.areEarlierRunsKnown()),
		hasFirstClaimsPending: () => [...servers.values()].some(({session}) => session.isFirstClaimPending()),
		hurryClaims() {
			for (const {session} of servers.values()) {
				session.hurryClaim();
			}
		},
		getKnowledge: () => ({
			servers: servers.size,
			heldServers: [...servers.values()].filter(({session}) => session.getState() === 'held').length,
			unclaimableServers: unclaimableCount,
		}),
		findRun: runIndex.findRun,
		isLossWidespread: lossEstimator.isWidespread,
		close() {
			for (const {session} of servers.values()) {
				session.close();
			}

			servers.clear();
			runIndex.clear();
		},
	};
}
