import {createSeededRandomSource, type RandomSource} from '@camphortack/core';
import {VirtualTimers} from '@camphortack/testkit';
import {getZoneName, type Deployment} from '../bench/deployments.js';
import {SimulatedFleet} from './simulated-fleet.js';
import type {BenchJob} from './workload.js';

/** How a job ended, as its client sees it. */
export type ReportEnd = (job: BenchJob, isComplete: boolean) => void;

/** What a policy gets to work with. */
export type PolicyContext = {
	deployment: Deployment;
	timers: VirtualTimers;
	random: RandomSource;
	fleet: SimulatedFleet;
	deadlineMs: number;
	/** The availability zone that is cut off from the others, if any. */
	cut: {availabilityZone?: string};
	/** Called when a daemon has the job's answer. */
	onEnd: ReportEnd;
};

/** A way to place tasks, under measurement. */
export type Policy = {
	/** Takes a job that reached a daemon. */
	submit(job: BenchJob): void;
	/** Gets how many wasted messages were sent so far. */
	getWastedMessages(): number;
	/** Cuts an availability zone off from the others, or heals it. */
	setZoneCut?(availabilityZone: string | undefined): void;
};

export type CreatePolicy = (context: PolicyContext) => Policy;

/**
 * Creates the context of a run: clock, seed and backend servers.
 * @param deployment - The deployment.
 * @param seed - The seed.
 * @param deadlineMs - How long clients wait.
 */
export function createContext(deployment: Deployment, seed: number, deadlineMs: number): Omit<PolicyContext, 'onEnd'> {
	const timers = new VirtualTimers();
	const random = createSeededRandomSource(seed);
	const fleet = new SimulatedFleet(timers, createSeededRandomSource(seed + 1));
	for (let index = 0; index < deployment.backendServers; index++) {
		fleet.addServer(`server-${index}`, getZoneName(deployment, index), deployment.slotsPerBackendServer);
	}

	return {
		deployment, timers, random, fleet, deadlineMs, cut: {},
	};
}
