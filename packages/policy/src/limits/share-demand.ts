import type {TimerService} from '@camphortack/core';
import {renewalIntervalMs} from './limit-constants.js';

/** Works out how large a share would serve the coming requests. */
export type ShareDemand = {
	/** Counts an amount that was admitted. */
	addAdmitted(amount: number, held: number): void;
	/** Counts an amount that was refused for lack of a share. */
	addShortfall(amount: number): void;
	/** Gets the share wanted. */
	getWant(held: number): number;
	/** Gets the least that would be of use beyond what is held, or 0. */
	getNeed(): number;
	/** Notes that a report was sent. */
	addReport(): void;
	getLastUsedAtMs(): number;
};

/** After this time without such use the highest use counts half. */
const peakHalfLifeMs = 1500;
/** How many times the last interval's use is wanted in reserve. */
const reserveFactor = 0.5;
/** A shortfall counts for this many reports. */
const shortfallReports = 2;

/** Creates the demand of a daemon that has used nothing yet. */
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

	function addReport(): void {
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
		addReport,
		getLastUsedAtMs: () => lastUsedAtMs,
	};
}
