import type {TimerService} from '@camphortack/core';
import {renewalIntervalMs} from './limit-constants.js';

/** Estimates the share required for the next requests. */
export type ShareDemand = {
	addAdmitted(amount: number, held: number): void;
	/** Counts an amount that was refused because the share was insufficient. */
	addShortfall(amount: number): void;
	/** Gets the share to request. */
	getWant(held: number): number;
	/** Gets the smallest additional amount that would be useful, which is that of the smallest refused request, or 0. */
	getNeed(): number;
	handleReportSent(): void;
	getLastUsedAtMs(): number;
};

/** The half-life of the recorded peak use. */
const peakHalfLifeMs = 1500;
/** The reserve requested, as a multiple of the use in the last interval. */
const reserveFactor = 0.5;
/** A shortfall is included in this many reports. */
const shortfallReports = 2;

export function createShareDemand(timers: TimerService): ShareDemand {
	let peak = 0;
	let peakAtMs = 0;
	let admitted = 0;
	let lastAdmitted = 0;
	let shortfall = 0;
	let smallestShortfall = 0;
	let shortfallReportsLeft = 0;
	let intervalStartedAtMs = -Infinity;
	let lastUsedAtMs = -Infinity;

	function updatePeak(held: number): void {
		const nowMs = timers.getNowMs();
		peak = Math.max(held, peak * (0.5 ** ((nowMs - peakAtMs) / peakHalfLifeMs)));
		peakAtMs = nowMs;
	}

	function addAdmitted(amount: number, held: number): void {
		admitted += amount;
		lastUsedAtMs = timers.getNowMs();
		updatePeak(held);
	}

	function addShortfall(amount: number): void {
		shortfall += amount;
		smallestShortfall = smallestShortfall === 0 ? amount : Math.min(smallestShortfall, amount);
		shortfallReportsLeft = shortfallReports;
		lastUsedAtMs = timers.getNowMs();
	}

	function getWant(held: number): number {
		updatePeak(held);
		const reserve = Math.max(shortfall, reserveFactor * Math.max(admitted, lastAdmitted));
		return peak < 0.5 ? held + reserve : peak + reserve;
	}

	function handleReportSent(): void {
		const nowMs = timers.getNowMs();
		if (nowMs >= intervalStartedAtMs + renewalIntervalMs) {
			lastAdmitted = admitted;
			admitted = 0;
			intervalStartedAtMs = nowMs;
		}

		shortfallReportsLeft--;
		if (shortfallReportsLeft <= 0) {
			shortfall = 0;
			smallestShortfall = 0;
		}
	}

	return {
		addAdmitted,
		addShortfall,
		getWant,
		getNeed: () => smallestShortfall,
		handleReportSent,
		getLastUsedAtMs: () => lastUsedAtMs,
	};
}
