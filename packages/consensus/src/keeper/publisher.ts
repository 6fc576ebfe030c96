import type {PublishProposal, PublishResult} from '../publish/publish-schemas.js';
import type {KeeperCore} from './keeper-core.js';
import {maxPendingPublishes} from './keeper-timings.js';
import type {LogEntry} from './log-entry.js';
import type {Replication} from './replication.js';

/** The leader's queue of publishes. They are committed one at a time, so that each is checked against the result of the previous one. */
export type Publisher = {
	/** Handles a proposal. There is no result if this keeper loses the leader role first; the sender resends. */
	handleProposal(proposal: PublishProposal, onResult: (result: PublishResult) => void): void;
	handleApplied(entry: LogEntry, result: PublishResult | undefined): void;
	/** Discards all state, since this keeper is no longer the leader. */
	reset(): void;
};

type PendingPublish = {
	proposal: PublishProposal;
	callbacks: Array<(result: PublishResult) => void>;
};

/**
 * Creates the publish queue of a keeper.
 * @param core - The keeper's shared state.
 * @param replication - Replicates the entries.
 */
export function createPublisher(core: KeeperCore, replication: Replication): Publisher {
	const pending = new Map<string, PendingPublish>();
	let inFlight: PendingPublish | undefined;

	function startNext(): void {
		while (inFlight === undefined && pending.size > 0 && replication.acceptsProposals()) {
			const [key, next] = pending.entries().next().value!;
			pending.delete(key);
			evaluate(next);
		}
	}

	function evaluate(next: PendingPublish): void {
		const known = core.machine.findResult(next.proposal);
		if (known !== undefined && !showsNewerLeader(known)) {
			complete(next, known);
		} else if (known === undefined && next.proposal.changes !== undefined) {
			inFlight = next;
			replication.append({type: 'publish', proposal: next.proposal});
		}
	}

	/** A sender that knows a later version shows that this keeper is no longer the leader, so it must not respond. */
	function showsNewerLeader(result: PublishResult): boolean {
		return result.outcome === 'rejected' && result.reason === 'unknown-base';
	}

	function complete(completed: PendingPublish, result: PublishResult): void {
		for (const onResult of completed.callbacks) {
			onResult(result);
		}
	}

	return {
		handleProposal(proposal, onResult) {
			const key = `${proposal.publishId} ${proposal.baseVersion} ${proposal.digest}`;
			const duplicate = inFlight?.proposal.publishId === proposal.publishId && inFlight.proposal.digest === proposal.digest ? inFlight : pending.get(key);
			if (duplicate !== undefined) {
				duplicate.callbacks.push(onResult);
			} else if (pending.size < maxPendingPublishes) {
				pending.set(key, {proposal, callbacks: [onResult]});
			}

			startNext();
		},
		handleApplied(entry, result) {
			const {command} = entry;
			if (command.type === 'publish' && inFlight?.proposal.publishId === command.proposal.publishId) {
				const completed = inFlight;
				inFlight = undefined;
				complete(completed, result!);
			}

			startNext();
		},
		reset() {
			inFlight = undefined;
			pending.clear();
		},
	};
}
