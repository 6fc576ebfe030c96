import process from 'node:process';
import type {Container} from 'inversify';
import {tokens} from '../composition/tokens.js';

/**
 * Gets what `camphortack status` shows.
 * @param container - The daemon's parts.
 * @param isDraining - Whether a planned stop has begun.
 */
export function getDaemonStatus(container: Container, isDraining: boolean): Record<string, unknown> {
	const {id, incarnation, availabilityZone} = container.get(tokens.identity);
	const {roles} = container.get(tokens.settings).daemon;
	const configuration = container.get(tokens.configurationDesk).findConfiguration();
	return {
		daemon: {
			id, incarnation, availabilityZone, roles, isDraining, isReady: !isDraining && configuration !== undefined,
		},
		configuration: {version: configuration?.version ?? 0, isStale: false},
		members: [{id, availabilityZone, isAlive: true}],
		dispatcher: container.get(tokens.dispatcher).getStatus(),
		limits: [],
		resources: getResources(),
		counters: container.get(tokens.metrics).getValues(),
	};
}

function getResources(): {processorTimeMs: number; memoryBytes: number} {
	const {user, system} = process.cpuUsage();
	const microsecondsPerMillisecond = 1000;
	return {
		processorTimeMs: (user + system) / microsecondsPerMillisecond,
		memoryBytes: process.memoryUsage.rss(),
	};
}
