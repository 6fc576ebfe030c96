import type {TimerService} from '@camphortack/core';
import type {Container} from 'inversify';
import {tokens} from '../composition/tokens.js';
import type {Servers} from './start-servers.js';

const checkIntervalMs = 20;
/** How long a graceful shutdown waits for a successor or a keeper that may not respond. */
const maxHandoverMs = 3000;

/**
 * Refuses new work, waits until all jobs in flight have ended, then hands over what this daemon owns and leaves the cluster.
 * @param container - The container of the daemon.
 */
export async function drain(container: Container): Promise<void> {
	const jobs = container.get(tokens.jobs);
	const timers = container.get(tokens.timers);
	jobs.startDraining();
	container.get(tokens.dispatcher).startDraining();
	container.get(tokens.limits).startLeaving();
	container.get(tokens.keeper)?.startLeaving();
	await waitUntil(timers, () => jobs.getOpenCount() === 0);
	await handOverTickets(container);
	await waitForStoredOutcomes(container);
	await waitForVote(container);
	await new Promise<void>(resolve => {
		container.get(tokens.membership).startLeaving(resolve);
	});
}

/** Waits until the keepers have stored the outcomes of the last jobs, at most as long as a resubmission waits for them. */
async function waitForStoredOutcomes(container: Container): Promise<void> {
	const client = container.get(tokens.registerClient);
	await waitUntil(container.get(tokens.timers), () => client.getStatus().unstoredOutcomes === 0, maxHandoverMs);
}

/** Waits until the keeper, if there is one, has given back its vote, or keeps it. */
async function waitForVote(container: Container): Promise<void> {
	const keeper = container.get(tokens.keeper);
	await waitUntil(container.get(tokens.timers), () => keeper?.hasLeft() ?? true, maxHandoverMs);
}

/** Transfers the tickets of this process to another daemon of the same availability zone, so that they stay valid. */
async function handOverTickets(container: Container): Promise<void> {
	const {id, availabilityZone} = container.get(tokens.identity);
	const members = container.get(tokens.membership).getMembers();
	const successor = members.find(member => member.id !== id && member.availabilityZone === availabilityZone);
	if (successor === undefined) {
		return;
	}

	let isDone = false;
	container.get(tokens.registerClient).handOverTickets(successor.id, () => {
		isDone = true;
	});
	await waitUntil(container.get(tokens.timers), () => isDone, maxHandoverMs);
}

async function waitUntil(timers: TimerService, hasCompleted: () => boolean, maxWaitMs = Number.POSITIVE_INFINITY): Promise<void> {
	const deadlineAtMs = timers.getNowMs() + maxWaitMs;
	await new Promise<void>(resolve => {
		const check = timers.addInterval(checkIntervalMs, () => {
			if (hasCompleted() || timers.getNowMs() >= deadlineAtMs) {
				check.cancel();
				resolve();
			}
		});
	});
}

/**
 * Closes the servers, components, peer connections and files.
 * @param container - The container of the daemon.
 * @param servers - Its HTTP servers.
 */
export async function closeDaemon(container: Container, servers: Servers): Promise<void> {
	await Promise.all([servers.callers.close(), servers.backendServers.close(), servers.operators.close()]);
	await container.get(tokens.taskStarter).close();
	container.get(tokens.registerClient).close();
	container.get(tokens.register)?.close();
	container.get(tokens.tickets).close();
	container.get(tokens.membership).stop();
	container.get(tokens.evacuationClient).stop();
	container.get(tokens.follower).stop();
	container.get(tokens.keeper)?.stop();
	container.get(tokens.limits).stop();
	await container.get(tokens.storage)?.close();
	await container.get(tokens.peerNetwork).close();
	await container.get(tokens.metrics).close();
	container.get(tokens.timers).cancelAll();
}
