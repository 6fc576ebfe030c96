import type {BackendServerDescription} from '@camphortack/placement';
import {runFor} from '../../../placement/test/support/run-for.js';
import {createTestCluster, type TestCluster} from './create-test-cluster.js';

/** Reports the backend servers and waits until the deployment can serve jobs. */
export async function startAndWaitUntilServing(test: TestCluster): Promise<void> {
	test.reportServers();
	await runFor(test.timers, 2000);
	test.reportServers();
	await runFor(test.timers, 100);
}

/** Submits jobs at regular intervals, round-robin to the entry daemons that are up. */
export async function submitFor(test: TestCluster, durationMs: number, intervalMs: number, prefix: string): Promise<void> {
	for (let passedMs = 0; passedMs < durationMs; passedMs += intervalMs) {
		const entries = test.daemons.filter(daemon => daemon.isUp && daemon.id.startsWith('entry'));
		test.submit(entries[Math.floor(passedMs / intervalMs) % entries.length]!.id, `${prefix}-${passedMs}`);
		// eslint-disable-next-line no-await-in-loop -- Jobs are submitted over time.
		await runFor(test.timers, intervalMs);
	}
}

/** Replaces the placer repeatedly, so that the term exceeds the one that daemons without hints start with. */
export async function replacePlacers(test: TestCluster, count: number): Promise<void> {
	for (let replaced = 0; replaced < count; replaced++) {
		const placer = test.getPlacer();
		test.kill(placer.id);
		// eslint-disable-next-line no-await-in-loop -- Placers are replaced one after the other.
		await runFor(test.timers, 1500);
		test.restart(placer.id);
		// eslint-disable-next-line no-await-in-loop -- Placers are replaced one after the other.
		await runFor(test.timers, 1500);
	}
}

/** Ignores whether a report was acknowledged, where a test checks its effects instead. */
export function ignoreAcknowledgement(): void {
	// Nothing to do.
}

/** Counts the outcomes of the jobs whose ids begin with a prefix. */
export function countOutcomes(test: TestCluster, prefix: string): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {jobId, result} of test.results) {
		if (jobId.startsWith(prefix)) {
			counts[result.outcome] = (counts[result.outcome] ?? 0) + 1;
		}
	}

	return counts;
}

/**
 * Starts a cluster whose placer keeper-a reaches none of its backend servers any more. It has room on one that has not been reported yet.
 * @param durationMs - How long tasks run.
 */
export async function startWithoutRoom(durationMs: number): Promise<{test: TestCluster; late: BackendServerDescription}> {
	const test = createTestCluster({getDurationMs: () => durationMs});
	const [late, ...others] = test.fleet.getDescriptions();
	for (const description of others) {
		test.find('keeper-a').cluster.reportServer(description, ignoreAcknowledgement);
	}

	await runFor(test.timers, 2000);
	for (const server of test.fleet.servers.slice(1)) {
		server.fault = {isUnreachableFrom: daemonId => daemonId === 'keeper-a'};
	}

	return {test, late: late!};
}
