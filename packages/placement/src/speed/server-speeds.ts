import type {TimerService} from '@camphortack/core';
import type {BackendServerDescription} from '../servers/backend-server-description.js';
import {createSpeedEvidence, type SpeedEvidence} from './speed-evidence.js';
import {getKindLabels} from './get-kind-labels.js';

/** The attributes of a backend server that its speed is learned by. */
export type SpeedSubject = Pick<BackendServerDescription, 'id' | 'labels' | 'cpuMillicores'>;

/** The learned speeds of backend servers, as multiples of the nominal speed. */
export type ServerSpeeds = {
	/** Gets the speed; 1 without evidence to the contrary. */
	getSpeed(description: SpeedSubject): number;
	/**
	 * Records an ended run.
	 * @param ratio - The run's expected time at nominal speed over its actual time.
	 */
	addRun(description: SpeedSubject, ratio: number): void;
};

type KnownServer = {
	description: SpeedSubject;
	evidence: SpeedEvidence;
	seenAtMs: number;
	speed: number;
};

/** Bounds on the speed. A backend server beyond them has a fault, which the health check finds. */
const minSpeed = 0.5;
const maxSpeed = 2;
/** A smaller difference from nominal is less than that between tasks of one step, and counts as none. */
const minDifferenceLog = 0.15;
/** The weight of the assumption that a kind has nominal speed, as a number of runs. */
const kindPriorRunCount = 10;
/** How long speeds are used until they are computed again. Computing them takes time in proportion to the backend servers. */
const refreshIntervalMs = 250;
/** Time after which a backend server that nobody asked about is forgotten. */
const retentionMs = 60_000;

/**
 * Creates the speeds of a placer, which knows none yet. Each is a mean of logarithms, in which the effect of one run is
 * bounded and older runs fade. It starts from the mean of the backend servers of the same kind, which is the label of most
 * backend servers. Nominal is the mean speed of all backend servers, weighted by their cores, so that it cannot drift while
 * expected times and speeds are learned from each other. This handles deployments whose backend servers differ in speed by
 * a factor of 2.5, with 3% of the tasks seven times as long by themselves.
 * @param timers - The clock.
 *
 * @example
 * ```ts
 * const speeds = createServerSpeeds(timers);
 * speeds.addRun(description, expectedMs / actualMs);
 * const healthyMs = nominalMs / speeds.getSpeed(description);
 * ```
 */
export function createServerSpeeds(timers: TimerService): ServerSpeeds {
	const servers = new Map<string, KnownServer>();
	let kindLabels = new Map<string, string>();
	let kindLogs = new Map<string, number>();
	let refreshedAtMs = Number.NEGATIVE_INFINITY;

	function getServer(description: SpeedSubject): KnownServer {
		let known = servers.get(description.id);
		if (known === undefined) {
			known = {
				description, evidence: createSpeedEvidence(), seenAtMs: 0, speed: 1,
			};
			servers.set(description.id, known);
		}

		known.description = description;
		known.seenAtMs = timers.getNowMs();
		return known;
	}

	function getPriorLog({id}: SpeedSubject): number {
		return kindLogs.get(kindLabels.get(id) ?? '') ?? 0;
	}

	function refreshIfDue(): void {
		const nowMs = timers.getNowMs();
		if (nowMs - refreshedAtMs < refreshIntervalMs) {
			return;
		}

		refreshedAtMs = nowMs;
		forgetUnseen(nowMs);
		kindLabels = getKindLabels([...servers.values()].map(({description}) => description));
		kindLogs = getKindLogs(nowMs);
		setSpeeds(nowMs);
	}

	function forgetUnseen(nowMs: number): void {
		for (const [id, {seenAtMs}] of servers) {
			if (nowMs - seenAtMs > retentionMs) {
				servers.delete(id);
			}
		}
	}

	function getKindLogs(nowMs: number): Map<string, number> {
		const sums = new Map<string, {log: number; runCount: number}>();
		for (const {description, evidence} of servers.values()) {
			const label = kindLabels.get(description.id) ?? '';
			const sum = sums.get(label) ?? {log: 0, runCount: 0};
			const runCount = evidence.getRunCount(nowMs);
			sums.set(label, {log: sum.log + (runCount * evidence.getMeanLog()), runCount: sum.runCount + runCount});
		}

		return new Map([...sums].map(([label, {log, runCount}]) => [label, log / (runCount + kindPriorRunCount)]));
	}

	function setSpeeds(nowMs: number): void {
		let capacity = 0;
		let nominalCapacity = 0;
		for (const server of servers.values()) {
			const {description, evidence} = server;
			server.speed = Math.exp(evidence.getLog(getPriorLog(description), nowMs));
			capacity += server.speed * description.cpuMillicores;
			nominalCapacity += description.cpuMillicores;
		}

		const meanSpeed = nominalCapacity === 0 ? 1 : capacity / nominalCapacity;
		for (const server of servers.values()) {
			server.speed = getBoundedSpeed(server.speed / meanSpeed);
		}
	}

	return {
		getSpeed(description) {
			const server = getServer(description);
			refreshIfDue();
			return server.speed;
		},
		addRun(description, ratio) {
			if (ratio > 0 && Number.isFinite(ratio)) {
				getServer(description).evidence.addRun(Math.log(ratio), getPriorLog(description), timers.getNowMs());
			}
		},
	};
}

function getBoundedSpeed(speed: number): number {
	return Math.abs(Math.log(speed)) < minDifferenceLog ? 1 : Math.max(minSpeed, Math.min(maxSpeed, speed));
}
