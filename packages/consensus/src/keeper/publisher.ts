import type {PublishProposal, PublishResult} from '../publish/publish-schemas.js';
import type {KeeperCore} from './keeper-core.js';
import {mostWaitingPublishes} from './keeper-timings.js';
import type {LogEntry} from './log-entry.js';
import type {Replication} from './replication.js';

/** The leader's queue of publishes: one is agreed at a time, so that each is judged against the one before. */
export type Publisher = {
	/** Takes a proposal. No result comes if this keeper stops leading first; the sender sends again. */
	handleProposal(proposal: PublishProposal, onResult: (result: PublishResult) => void): void;
	handleApplied(entry: LogEntry, result: PublishResult | undefined): void;
	/** Forgets everything, since this keeper no longer leads. */
	reset(): void;
};

type Waiting = {
	proposal: PublishProposal;
	callbacks: Array<(result: PublishResult) => void>;
};

/**
 * Creates the queue.
 * @param core - The keeper's shared state.
 * @param replication - Takes the entries.
 */
export function createPublisher(core: KeeperCore, replication: Replication): Publisher {
	const waiting = new Map<string, Waiting>();
	let inFlight: Waiting | undefined;

	function startNext(): void {
		while (inFlight === undefined && waiting.size > 0 && replication.isReady() && !core.isLeaving) {
			const [key, next] = waiting.entries().next().value!;
			waiting.delete(key);
			judge(next);
		}
	}

	function judge(next: Waiting): void {
		const known = core.machine.findResult(next.proposal);
		if (known !== undefined && !isAheadOfLeader(known)) {
			finish(next, known);
		} else if (known === undefined && next.proposal.changes !== undefined) {
			inFlight = next;
			replication.append({type: 'publish', proposal: next.proposal});
		}
	}

	/** A sender that knows a later version shows that this keeper no longer leads, so it must not answer. */
	function isAheadOfLeader(result: PublishResult): boolean {
		return result.outcome === 'rejected' && result.reason === 'unknown-base';
	}

	function finish(ended: Waiting, result: PublishResult): void {
		for (const onResult of ended.callbacks) {
			onResult(result);
		}
	}

	return {
		handleProposal(proposal, onResult) {
			const key = `${proposal.publishId} ${proposal.baseVersion} ${proposal.digest}`;
			const same = inFlight?.proposal.publishId === proposal.publishId && inFlight.proposal.digest === proposal.digest ? inFlight : waiting.get(key);
			if (same !== undefined) {
				same.callbacks.push(onResult);
			} else if (waiting.size < mostWaitingPublishes) {
				waiting.set(key, {proposal, callbacks: [onResult]});
			}

			startNext();
		},
		handleApplied(entry, result) {
			const {command} = entry;
			if (command.type === 'publish' && inFlight?.proposal.publishId === command.proposal.publishId) {
				const ended = inFlight;
				inFlight = undefined;
				finish(ended, result!);
			}

			startNext();
		},
		reset() {
			inFlight = undefined;
			waiting.clear();
		},
	};
}
