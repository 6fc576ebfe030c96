import type {Configuration} from '@camphortack/configuration';
import {longestDeadlineMs, type Member, type PeerMessage} from '@camphortack/core';
import {createHeldDimension, type HeldDimension} from './held-dimension.js';
import {createJobAccounts} from './job-accounts.js';
import {longestTickGapMs, takeoverMarginMs, tickMs} from './limit-constants.js';
import type {
	DistributedLimiterOptions, DistributedLimiter, LimiterStatus, LimitDecision, LimitRequest, LimitStatus,
} from './limiter.js';
import {getLimitDimensions, type LimitDimension} from './limit-dimensions.js';
import {
	limitMessageSchema, type GrantMessage, type LimitMessage, type RequestMessage, type ShareReport,
} from './limit-messages.js';
import type {GrantedShare} from './leased-share.js';
import {createRequestLog} from './request-log.js';
import {createShareManager, type EarlierUse} from './share-manager.js';
import {createWaitingAdmissions} from './waiting-admissions.js';
import {createZoneDivision} from './zone-division.js';
import {createZoneManagers} from './zone-managers.js';
import {createZonePresence} from './zone-presence.js';

/** Missing shares are asked for this long after the refusal, together. */
const urgentFlushMs = 1;
/** A limit that is new in the configuration counts as unused unless daemons came back within this time. */
const returnSettlingMs = 30_000;

/**
 * Creates the book of leased shares. No declared figure is passed by all daemons together.
 *
 * @example
 * ```ts
 * const book = createLimitBook({ownId: 'e1', incarnation, availabilityZone: 'muc', timers, random, peers});
 * book.setConfiguration(configuration);
 * book.setMembers(members);
 * book.admitJob({jobId: 'j1', customer: 'joiner', service: 'pricing', pool: 'walnut', taskCount: 20, expectedWorkerSeconds: 6});
 * ```
 */
export function createDistributedLimiter(options: DistributedLimiterOptions): DistributedLimiter {
	const {
		ownId, incarnation, availabilityZone: ownZone, timers, random, peers,
		minZoneMembers = 1, earlierUse = 'possible', maxHoldMs = longestDeadlineMs,
	} = options;
	const heldByKey = new Map<string, HeldDimension>();
	const urgentKeys = new Set<string>();
	const accounts = createJobAccounts();
	const requests = createRequestLog(timers);
	const managers = createZoneManagers();
	const division = createZoneDivision(timers, ownZone);
	const presence = createZonePresence({
		timers,
		fewestMembers: minZoneMembers,
		longestEndingMs: maxHoldMs + maxHoldMs,
	});
	let configuration: Configuration | undefined;
	let dimensionsByLimit = new Map<string, LimitDimension[]>();
	let knownKeys: ReadonlySet<string> = new Set();
	let isStarted = false;
	let returnedAtMs = -Infinity;
	let tickedAtMs = timers.getNowMs();
	let isFlushPending = false;
	let malformedMessages = 0;

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
	const waiting = createWaitingAdmissions({timers, admitJob, findLacking: request => accounts.getLacking(request, getHeldDimensions(request)).at(0)});
	const ticks = timers.addInterval(tickMs, tick);

	function getEntitlement({capacity, isWhole, holdMs, lagMs}: LimitDimension): number {
		return presence.getEntitlement(division.getZoneAmount(capacity, isWhole), isWhole, holdMs + lagMs + takeoverMarginMs);
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
		checkPause();
		shareManager.updateEntitlements(true);
		sendReports();
		shareManager.sendDue();
	}

	/** A process that slept may have missed that others took over from it. */
	function checkPause(): void {
		const nowMs = timers.getNowMs();
		const isPaused = nowMs - tickedAtMs > longestTickGapMs;
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
				reports.push(held.takeReport());
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

		checkPause();
		const dimensions = getHeldDimensions(request);
		const lacking = accounts.getLacking(request, dimensions);
		const decision = accounts.admitJob(request, dimensions);
		for (const held of lacking) {
			addUrgent(held);
		}

		return decision;
	}

	function addUrgent(lacking: HeldDimension): void {
		urgentKeys.add(lacking.getDimension().key);
		if (!isFlushPending) {
			isFlushPending = true;
			timers.addTimer(urgentFlushMs, () => {
				isFlushPending = false;
				sendReports();
			});
		}
	}

	function requestAdmission(request: LimitRequest, onDecision: (decision: LimitDecision) => void): void {
		const decision = admitJob(request);
		const [lacking] = decision.isAdmitted ? [] : accounts.getLacking(request, getHeldDimensions(request));
		if (lacking === undefined || !waiting.add(request, lacking, onDecision)) {
			onDecision(decision);
		}
	}

	function setConfiguration(next: Configuration): void {
		configuration = next;
		division.setConfiguration(next.objects);
		dimensionsByLimit = getLimitDimensions(next.objects, maxHoldMs);
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

	/** The book has started once it has both a configuration and members. */
	function updateStarted(): void {
		isStarted ||= configuration !== undefined && managers.getZones().size > 0;
	}

	function setMembers(members: readonly Member[]): void {
		checkPause();
		const managerBefore = new Map([...heldByKey.keys()].map(key => [key, managers.findManager(key, ownZone)]));
		managers.setMembers(members);
		division.setVisibleZones(managers.getZones());
		const hasReturned = presence.setMembers(managers.getZoneMembers(ownZone));
		returnedAtMs = hasReturned ? timers.getNowMs() : returnedAtMs;
		afterMembersChange(managerBefore, false);
		updateStarted();
	}

	function afterMembersChange(managerBefore: ReadonlyMap<string, string | undefined>, isIncreaseKnown: boolean): void {
		shareManager.assignDimensions([...dimensionsByLimit.values()].flat());
		shareManager.updateEntitlements(isIncreaseKnown);
		for (const [key, held] of heldByKey) {
			if (managers.findManager(key, ownZone) !== managerBefore.get(key)) {
				held.requireReport();
			}
		}

		shareManager.sendDue();
		sendReports();
	}

	function handlePeerMessage(fromPeerId: string, message: PeerMessage): void {
		const parsed = limitMessageSchema.safeParse(message);
		if (!parsed.success) {
			malformedMessages++;
			return;
		}

		checkPause();
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
		const lender = [...managers.getZones()].find(zone => zone !== ownZone && managers.findManager(key, zone) === fromPeerId);
		const held = heldByKey.get(key);
		if (lender !== undefined) {
			shareManager.adoptBorrowed(key, lender, grant);
		} else if (held !== undefined && managers.findManager(key, ownZone) === fromPeerId) {
			held.adoptGrant(grant);
			waiting.retry(held);
		}
	}

	function removeMember(id: string, memberIncarnation: string): void {
		const managerBefore = new Map([...heldByKey.keys()].map(key => [key, managers.findManager(key, ownZone)]));
		managers.removeMember(id, memberIncarnation);
		presence.removeMember(id, memberIncarnation);
		afterMembersChange(managerBefore, true);
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
		extendTask: accounts.extendTask,
		endTask: accounts.endTask,
		releaseTask: accounts.releaseTask,
		closeJob: accounts.closeJob,
		setConfiguration,
		setMembers,
		handlePeerMessage,
		startLeaving,
		getStatus,
		stop() {
			ticks.cancel();
		},
	};
}
