import type {TimerService} from '@camphortack/core';
import {createLeakingCounter} from './leaking-counter.js';
import {createLeasedShare, type GrantedShare, type LeasedShare} from './leased-share.js';
import {clockDriftFactor, renewalIntervalMs} from './limit-constants.js';
import type {LimitDimension} from './limit-dimensions.js';
import type {ShareReport} from './limit-messages.js';
import {createShareDemand, type ShareDemand} from './share-demand.js';
import {createUseCounter, type UseCounter} from './use-counter.js';

/** What this daemon holds and wants of one dimension. */
export type HeldDimension = {
	readonly share: Pick<LeasedShare, 'getAmount'>;
	readonly counter: UseCounter;
	readonly demand: ShareDemand;
	getDimension(): LimitDimension;
	/** Replaces the declared figure. A lowered one takes hold at once, in proportion. */
	setDimension(dimension: LimitDimension): void;
	/** Takes an answer of the share manager into force. */
	adoptGrant(grant: GrantedShare): void;
	/** Gets what may be admitted now. */
	getFree(): number;
	isReportDue(isUrgent: boolean): boolean;
	/** Makes a report, which gives up what is not wanted any more. */
	takeReport(): ShareReport;
	/** Asks for a report as soon as possible, as after a change of the share manager. */
	requireReport(): void;
};

/** An urgent report comes at the earliest this long after the last one. */
const urgentIntervalMs = 20;
/** Shares are given up after this time without use. */
const idleAfterMs = 5000;
/** A daemon that holds an amount but uses no more of it reports it at this interval. */
const idleReportIntervalMs = 8000;

/** Creates the record of a dimension of which nothing is held. */
export function createHeldDimension(timers: TimerService, firstDimension: LimitDimension): HeldDimension {
	const share = createLeasedShare(timers);
	const counter = firstDimension.resource === 'rate' ? createLeakingCounter(timers, getLeakPerMs) : createUseCounter(timers);
	const demand = createShareDemand(timers);
	let dimension = firstDimension;
	let reportedAtMs = -Infinity;
	let lastClaim = 0;
	let isRequired = false;

	/** What the share manager counts as held by this daemon may leak away within the lag. */
	function getLeakPerMs(): number {
		return Math.max(share.getAmount(), lastClaim) / (dimension.lagMs * clockDriftFactor);
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
		if (isRequired) {
			return true;
		}

		const isIdle = nowMs > demand.getLastUsedAtMs() + idleAfterMs;
		const claim = getClaim();
		if (isIdle && claim === 0 && lastClaim === 0) {
			return false;
		}

		if (isUrgent) {
			return nowMs >= reportedAtMs + urgentIntervalMs;
		}

		const isWaitingOnly = isIdle && share.getAmount() === 0 && claim > 0;
		return nowMs >= reportedAtMs + (isWaitingOnly ? idleReportIntervalMs : renewalIntervalMs);
	}

	function getClaim(): number {
		const held = counter.getHeld();
		return Math.max(dimension.isWhole ? Math.ceil(held) : held, share.getAmount());
	}

	function takeReport(): ShareReport {
		const held = counter.getHeld();
		const isIdle = timers.getNowMs() > demand.getLastUsedAtMs() + idleAfterMs;
		const wanted = isIdle ? 0 : demand.getWant(held);
		const want = dimension.isWhole ? Math.ceil(wanted) : wanted;
		share.lowerTo(want);
		reportedAtMs = timers.getNowMs();
		isRequired = false;
		lastClaim = getClaim();
		const report: ShareReport = {
			key: dimension.key,
			tenure: '',
			adopted: share.getAdopted(),
			claim: lastClaim,
			want,
			need: demand.getNeed(),
		};
		demand.addReport();
		return report;
	}

	return {
		share,
		counter,
		demand,
		getDimension: () => dimension,
		setDimension,
		adoptGrant,
		getFree: () => share.getAmount() - counter.getHeld(),
		isReportDue,
		takeReport,
		requireReport() {
			isRequired ||= getClaim() > 0;
		},
	};
}
