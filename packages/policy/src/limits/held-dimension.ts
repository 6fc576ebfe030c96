import type {TimerService} from '@camphortack/core';
import {createLeakyBucketCounter} from './leaky-bucket-counter.js';
import {createLeasedShare, type GrantedShare, type LeasedShare} from './leased-share.js';
import {clockDriftFactor, renewalIntervalMs} from './limit-constants.js';
import type {LimitDimension} from './limit-dimensions.js';
import type {ShareReport} from './limit-messages.js';
import {createShareDemand, type ShareDemand} from './share-demand.js';
import {createUseCounter, type UseCounter} from './use-counter.js';

/** The share of one dimension that this daemon holds, and its demand. */
export type HeldDimension = {
	readonly share: Pick<LeasedShare, 'getAmount'>;
	readonly counter: UseCounter;
	readonly demand: ShareDemand;
	getDimension(): LimitDimension;
	/** Replaces the dimension. A lower capacity reduces the share at once, in proportion. */
	setDimension(dimension: LimitDimension): void;
	/** Applies a grant of the share manager. */
	adoptGrant(grant: GrantedShare): void;
	/** Gets the amount that may be admitted now. */
	getAvailable(): number;
	isReportDue(isUrgent: boolean): boolean;
	/** Creates a report and gives up the part of the share that is no longer wanted. */
	createReport(): ShareReport;
	/** Makes a report due at once if anything is held, as after a change of the share manager. */
	requireReport(): void;
};

/** The minimum interval between the last report and an urgent one. */
const urgentIntervalMs = 20;
/** A share is given up after this time without use. */
const idleTimeoutMs = 5000;
/** The report interval of a daemon that still holds an amount but has no share and no demand. */
const idleReportIntervalMs = 8000;

/** Creates the state of a dimension without a share. */
export function createHeldDimension(timers: TimerService, firstDimension: LimitDimension): HeldDimension {
	const share = createLeasedShare(timers);
	const counter = firstDimension.resource === 'rate' ? createLeakyBucketCounter(timers, getLeakPerMs) : createUseCounter(timers);
	const demand = createShareDemand(timers);
	let dimension = firstDimension;
	let reportedAtMs = -Infinity;
	let lastClaim = 0;
	let isReportRequired = false;

	/** The amount that the share manager counts as held by this daemon drains within the window. */
	function getLeakPerMs(): number {
		return Math.max(share.getAmount(), lastClaim) / (dimension.windowMs * clockDriftFactor);
	}

	function adoptGrant(grant: GrantedShare): void {
		counter.getHeld();
		share.adopt(grant);
	}

	function setDimension(next: LimitDimension): void {
		counter.getHeld();
		if (next.capacity < dimension.capacity) {
			const lowered = share.getAmount() * next.capacity / dimension.capacity;
			share.lowerTo(next.isWhole ? Math.floor(lowered) : lowered);
		}

		dimension = next;
	}

	function isReportDue(isUrgent: boolean): boolean {
		const nowMs = timers.getNowMs();
		if (isReportRequired) {
			return true;
		}

		const isIdle = nowMs > demand.getLastUsedAtMs() + idleTimeoutMs;
		const claim = getClaim();
		if (isIdle && claim === 0 && lastClaim === 0) {
			return false;
		}

		if (isUrgent) {
			return nowMs >= reportedAtMs + urgentIntervalMs;
		}

		const isHoldingOnly = isIdle && share.getAmount() === 0 && claim > 0;
		return nowMs >= reportedAtMs + (isHoldingOnly ? idleReportIntervalMs : renewalIntervalMs);
	}

	function getClaim(): number {
		const held = counter.getHeld();
		return Math.max(dimension.isWhole ? Math.ceil(held) : held, share.getAmount());
	}

	function createReport(): ShareReport {
		const held = counter.getHeld();
		const isIdle = timers.getNowMs() > demand.getLastUsedAtMs() + idleTimeoutMs;
		const wanted = isIdle ? 0 : demand.getWant(held);
		const want = dimension.isWhole ? Math.ceil(wanted) : wanted;
		share.lowerTo(want);
		reportedAtMs = timers.getNowMs();
		isReportRequired = false;
		lastClaim = getClaim();
		const report: ShareReport = {
			key: dimension.key,
			tenure: '',
			adopted: share.getAdopted(),
			claim: lastClaim,
			want,
			need: demand.getNeed(),
		};
		demand.handleReportSent();
		return report;
	}

	return {
		share,
		counter,
		demand,
		getDimension: () => dimension,
		setDimension,
		adoptGrant,
		getAvailable: () => share.getAmount() - counter.getHeld(),
		isReportDue,
		createReport,
		requireReport() {
			isReportRequired ||= getClaim() > 0;
		},
	};
}
