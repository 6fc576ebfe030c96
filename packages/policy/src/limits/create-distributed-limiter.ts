import type {Configuration} from '@camphortack/configuration';
import {
	createBadRowLog, maxDeadlineMs, parseWithoutBadRows, type Member, type PeerMessage,
} from '@camphortack/core';
import {createHeldDimension, type HeldDimension} from './held-dimension.js';
import {createJobReservations} from './job-reservations.js';
import {maxTickGapMs, takeoverMarginMs, tickMs} from './limit-constants.js';
import type {
	DistributedLimiterOptions, DistributedLimiter, LimiterStatus, LimitDecision, LimitRequest, LimitStatus,
} from './limiter.js';
import {getLimitDimensions, type LimitDimension} from './limit-dimensions.js';
import {
	limitMessageSchema, tolerantLists, type GrantMessage, type LimitMessage, type RequestMessage, type ShareReport,
} from './limit-messages.js';
import type {GrantedShare} from './leased-share.js';
import {createRequestLog} from './request-log.js';
import {createShareManager, type EarlierUse} from './share-manager.js';
import {createWaitingAdmissions} from './waiting-admissions.js';
import {createZoneDivision} from './zone-division.js';
import {createZoneManagers} from './zone-managers.js';
import {createZoneEntitlement} from './zone-entitlement.js';

/** Delays an urgent report after a refusal, so that requests for several missing shares are batched. */
const urgentReportDelayMs = 1;
/** A limit that is new in the configuration counts as unused unless a lost daemon has returned within this time. */
const returnSettlingMs = 30_000;

/**
 * Creates a limiter that shares the declared limits with all daemons through leases. Together the daemons never exceed a
 * declared limit.
 *
 * @example
 * ```ts
 * const limiter = createDistributedLimiter({ownId: 'e1', incarnation, availabilityZone: 'muc', timers, random, metrics, events, peers});
 * limiter.setConfiguration(configuration);
 * limiter.setMembers(members);
 * limiter.admitJob({jobId: 'j1', customer: 'joiner', service: 'pricing', pool: 'walnut', taskCount: 20, expectedWorkerSeconds: 6});
 * ```
 */
export function createDistributedLimiter(options: DistributedLimiterOptions): DistributedLimiter {
	const {
		ownId, incarnation, availabilityZone: ownZone, timers, metrics, events, random, peers,
		minZoneMembers = 1, earlierUse = 'possible', maxTaskRunTimeMs = maxDeadlineMs,
	} = options;
	const heldByKey = new Map<string, HeldDimension>();
	const urgentKeys = new Set<string>();
	const jobReservations = createJobReservations();
	const requests = createRequestLog(timers);
	const managers = createZoneManagers();
	const division = createZoneDivision(timers, ownZone);
	const zoneEntitlement = createZoneEntitlement({
		timers,
		minMembers: minZoneMembers,
		maxUseLifetimeMs: maxTaskRunTimeMs + maxTaskRunTimeMs,
	});
	let configuration: Configuration | undefined;
	let dimensionsByLimit = new Map<string, LimitDimension[]>();
	let knownKeys: ReadonlySet<string> = new Set();
	let isStarted = false;
	let returnedAtMs = -Infinity;
	let tickedAtMs = timers.getNowMs();
	let isUrgentReportPending = false;
	let malformedMessages = 0;
	const badRowLog = createBadRowLog({timers, events, metrics});

	const shareManager = createShareManager({
		ownId,
		ownZone,
		incarnation,
		timers,
		random,
		managers,
		requests,
		send,
		getEntitlement,
		getEarlierUse,
	});
	const waiting = createWaitingAdmissions({timers, admitJob, findLacking: request => jobReservations.getLacking(request, getHeldDimensions(request)).at(0)});
	const tickTimer = timers.addInterval(tickMs, tick);

	function getEntitlement({capacity, isWhole, holdMs, windowMs}: LimitDimension): number {
		return zoneEntitlement.getEntitlement(division.getZoneAmount(capacity, isWhole), isWhole, holdMs + windowMs + takeoverMarginMs);
	}

	function getEarlierUse({key}: LimitDimension): EarlierUse {
		if (isStarted) {
			return knownKeys.has(key) || timers.getNowMs() < returnedAtMs + returnSettlingMs ? 'possible' : 'none';
		}

		const initialUse = options.isFirstStart?.() === true ? 'none' : earlierUse;
		return initialUse === 'none' && minZoneMembers > 1 ? 'concurrent' : initialUse;
	}

	function send(peerId: string, message: PeerMessage & LimitMessage): void {
		if (peerId === ownId) {
			handleMessage(ownId, message);
		} else {
			peers.send(peerId, message);
		}
	}

	function tick(): void {
		detectPause();
		shareManager.updateEntitlements(true);
		sendReports();
		shareManager.sendDue();
	}

	/** After a pause of this process, other daemons may have taken over the dimensions that it manages. */
	function detectPause(): void {
		const nowMs = timers.getNowMs();
		const isPaused = nowMs - tickedAtMs > maxTickGapMs;
		tickedAtMs = nowMs;
		if (isPaused) {
			returnedAtMs = nowMs;
			shareManager.resetDimensions();
		}
	}

	function sendReports(): void {
		const reportsByPeer = new Map<string, ShareReport[]>();
		for (const [key, held] of heldByKey) {
			const manager = managers.findManager(key, ownZone);
			if (manager !== undefined && held.isReportDue(urgentKeys.has(key))) {
				urgentKeys.delete(key);
				const reports = reportsByPeer.get(manager) ?? [];
				reports.push(held.createReport());
				reportsByPeer.set(manager, reports);
			}
		}

		for (const [peerId, reports] of reportsByPeer) {
			send(peerId, {
				kind: 'limits.request',
				incarnation,
				isForeign: false,
				sequence: requests.addRequest(),
				reports,
			});
		}
	}

	function getHeldDimensions({customer, service, pool}: LimitRequest): HeldDimension[] {
		const objects = configuration?.objects;
		const limits = new Set([
			...objects?.customers[customer]?.limits ?? [],
			...objects?.services[service]?.limits ?? [],
			...objects?.pools[pool]?.limits ?? [],
		]);
		return [...limits].flatMap(limit => dimensionsByLimit.get(limit) ?? []).map(dimension => heldByKey.get(dimension.key)!);
	}

	function admitJob(request: LimitRequest): LimitDecision {
		if (configuration === undefined) {
			return {isAdmitted: false, code: 'no-configuration', retryAfterMs: 1000};
		}

		detectPause();
		const dimensions = getHeldDimensions(request);
		const lacking = jobReservations.getLacking(request, dimensions);
		const decision = jobReservations.admitJob(request, dimensions);
		for (const held of lacking) {
			requestUrgentReport(held);
		}

		return decision;
	}

	function requestUrgentReport(lacking: HeldDimension): void {
		urgentKeys.add(lacking.getDimension().key);
		if (!isUrgentReportPending) {
			isUrgentReportPending = true;
			timers.addTimer(urgentReportDelayMs, () => {
				isUrgentReportPending = false;
				sendReports();
			});
		}
	}

	function requestAdmission(request: LimitRequest, onDecision: (decision: LimitDecision) => void): void {
		const decision = admitJob(request);
		const [lacking] = decision.isAdmitted ? [] : jobReservations.getLacking(request, getHeldDimensions(request));
		if (lacking === undefined || !waiting.add(request, lacking, onDecision)) {
			onDecision(decision);
		}
	}

	function setConfiguration(next: Configuration): void {
		configuration = next;
		division.setConfiguration(next.objects);
		dimensionsByLimit = getLimitDimensions(next.objects, maxTaskRunTimeMs);
		const dimensions = [...dimensionsByLimit.values()].flat();
		const keys = new Set(dimensions.map(dimension => dimension.key));
		for (const key of heldByKey.keys()) {
			if (!keys.has(key)) {
				heldByKey.delete(key);
			}
		}

		for (const dimension of dimensions) {
			const held = heldByKey.get(dimension.key);
			held?.setDimension(dimension);
			heldByKey.set(dimension.key, held ?? createHeldDimension(timers, dimension));
		}

		shareManager.assignDimensions(dimensions);
		shareManager.updateEntitlements(true);
		knownKeys = keys;
		updateStarted();
	}

	/** The limiter has started once it has both a configuration and members. */
	function updateStarted(): void {
		isStarted ||= configuration !== undefined && managers.getZones().size > 0;
	}

	function setMembers(members: readonly Member[]): void {
		detectPause();
		const previousManagers = new Map([...heldByKey.keys()].map(key => [key, managers.findManager(key, ownZone)]));
		managers.setMembers(members);
		division.setVisibleZones(managers.getZones());
		const hasReturned = zoneEntitlement.setMembers(managers.getZoneMembers(ownZone));
		returnedAtMs = hasReturned ? timers.getNowMs() : returnedAtMs;
		handleMembersChange(previousManagers, false);
		updateStarted();
	}

	function handleMembersChange(previousManagers: ReadonlyMap<string, string | undefined>, isIncreaseKnown: boolean): void {
		shareManager.assignDimensions([...dimensionsByLimit.values()].flat());
		shareManager.updateEntitlements(isIncreaseKnown);
		for (const [key, held] of heldByKey) {
			if (managers.findManager(key, ownZone) !== previousManagers.get(key)) {
				held.requireReport();
			}
		}

		shareManager.sendDue();
		sendReports();
	}

	function handlePeerMessage(fromPeerId: string, message: PeerMessage): void {
		const parsed = parseWithoutBadRows(limitMessageSchema, message, tolerantLists);
		if (!parsed.success) {
			malformedMessages++;
			return;
		}

		badRowLog.report({from: fromPeerId, kind: message.kind}, parsed.badRows);
		detectPause();
		handleMessage(fromPeerId, parsed.data);
	}

	function handleMessage(fromPeerId: string, message: LimitMessage): void {
		switch (message.kind) {
			case 'limits.request': {
				handleRequest(fromPeerId, message);
				break;
			}

			case 'limits.grant': {
				handleGrant(fromPeerId, message);
				break;
			}

			case 'limits.ledger': {
				shareManager.handleLedger(fromPeerId, message);
				break;
			}

			case 'limits.ledger-received': {
				shareManager.handleLedgerReceived(message.transferId);
				break;
			}

			case 'limits.farewell': {
				removeMember(fromPeerId, message.incarnation);
				break;
			}
		}
	}

	function handleRequest(fromPeerId: string, request: RequestMessage): void {
		const grants = [];
		for (const report of request.reports) {
			const clientKey = `${fromPeerId}/${request.incarnation}/${report.tenure}`;
			const amount = shareManager.grantShare({clientKey, isForeign: request.isForeign}, request.sequence, report);
			if (amount !== undefined) {
				grants.push({key: report.key, amount});
			}
		}

		if (grants.length > 0) {
			send(fromPeerId, {
				kind: 'limits.grant',
				incarnation: request.incarnation,
				sequence: request.sequence,
				grants,
			});
		}
	}

	function handleGrant(fromPeerId: string, message: GrantMessage): void {
		const sentAtMs = requests.findSentAtMs(message.sequence);
		if (message.incarnation !== incarnation || sentAtMs === undefined) {
			return;
		}

		for (const {key, amount} of message.grants) {
			adoptGrant(fromPeerId, key, {sequence: message.sequence, sentAtMs, amount});
		}
	}

	function adoptGrant(fromPeerId: string, key: string, grant: GrantedShare): void {
		const lendingZone = [...managers.getZones()].find(zone => zone !== ownZone && managers.findManager(key, zone) === fromPeerId);
		const held = heldByKey.get(key);
		if (lendingZone !== undefined) {
			shareManager.adoptBorrowed(key, lendingZone, grant);
		} else if (held !== undefined && managers.findManager(key, ownZone) === fromPeerId) {
			held.adoptGrant(grant);
			waiting.retry(held);
		}
	}

	function removeMember(id: string, memberIncarnation: string): void {
		const previousManagers = new Map([...heldByKey.keys()].map(key => [key, managers.findManager(key, ownZone)]));
		managers.removeMember(id, memberIncarnation);
		zoneEntitlement.removeMember(id, memberIncarnation);
		handleMembersChange(previousManagers, true);
	}

	function startLeaving(): void {
		const others = managers.getZoneMembers(ownZone).filter(member => member.id !== ownId);
		for (const {id} of others) {
			send(id, {kind: 'limits.farewell', incarnation});
		}

		if (others.length > 0) {
			removeMember(ownId, incarnation);
		}
	}

	function getStatus(): LimiterStatus {
		return {malformedMessages, limits: [...heldByKey.values()].map(held => getLimitStatus(held))};
	}

	function getLimitStatus(held: HeldDimension): LimitStatus {
		const {key, limit, resource, capacity} = held.getDimension();
		const managed = shareManager.findManaged(key);
		return {
			limit,
			resource,
			capacity,
			share: held.share.getAmount(),
			held: held.counter.getHeld(),
			managerId: managers.findManager(key, ownZone),
			managed: managed === undefined
				? undefined
				: {entitlement: managed.getEntitlement(), borrowed: managed.getBorrowed(), lent: managed.getLent()},
		};
	}

	return {
		admitJob,
		requestAdmission,
		extendTask: jobReservations.extendTask,
		endTask: jobReservations.endTask,
		releaseTask: jobReservations.releaseTask,
		closeJob: jobReservations.closeJob,
		setConfiguration,
		setMembers,
		handlePeerMessage,
		startLeaving,
		getStatus,
		stop() {
			tickTimer.cancel();
		},
	};
}
