import {createSeededRandomSource, type RandomSource} from '@camphortack/core';
import {VirtualTimers} from '@camphortack/testkit';
import {getZoneName, type Deployment} from '../bench/deployments.js';
import {SimulatedFleet} from './simulated-fleet.js';
import type {BenchJob} from './workload.js';

/** Receives the end of a job and whether it completed, from the client's point of view. */
export type JobEndListener = (job: BenchJob, isComplete: boolean) => void;

/** The environment of a policy. */
export type PolicyContext = {
	deployment: Deployment;
	timers: VirtualTimers;
	random: RandomSource;
	fleet: SimulatedFleet;
	deadlineMs: number;
	/** The availability zone that is partitioned from the others, if any. */
	networkPartition: {availabilityZone?: string};
	/** Called when a daemon has the job's answer. */
	onEnd: JobEndListener;
};

/** A task placement policy under measurement. */
export type Policy = {
	/** Submits a job that has reached a daemon. */
	submit(job: BenchJob): void;
	/** Gets the number of wasted messages sent so far. */
	getWastedMessages(): number;
	/** Partitions an availability zone from the others, or heals the partition if it is undefined. */
	setZonePartition?(availabilityZone: string | undefined): void;
};

export type CreatePolicy = (context: PolicyContext) => Policy;

/**
 * Creates the context of a run: clock, random source and backend servers.
 * @param deployment - The deployment to simulate.
 * @param seed - The seed of the random sources.
 * @param deadlineMs - The time that clients wait for an answer.
 */
export function createContext(deployment: Deployment, seed: number, deadlineMs: number): Omit<PolicyContext, 'onEnd'> {
	const timers = new VirtualTimers();
	const random = createSeededRandomSource(seed);
	const fleet = new SimulatedFleet(timers, createSeededRandomSource(seed + 1));
	for (let index = 0; index < deployment.backendServers; index++) {
		fleet.addServer(`server-${index}`, getZoneName(deployment, index), deployment.slotsPerBackendServer);
	}

	return {
		deployment, timers, random, fleet, deadlineMs, networkPartition: {},
	};
}
