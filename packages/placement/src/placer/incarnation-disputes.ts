import type {TimerService} from '@camphortack/core';
import type {BackendServerDescription} from '../servers/backend-server-description.js';
import type {BackendSession} from '../sessions/backend-session.js';

/** Descriptions of other incarnations of backend servers than those in use, until the backend servers show which are right. */
export type IncarnationDisputes = {
	/** Adds a description of another incarnation than that of a session, and verifies that one. */
	addDescription(description: BackendServerDescription, session: BackendSession): void;
	/** Handles that the backend server has responded as the incarnation of the session. */
	handleSameIncarnation(session: BackendSession): void;
	/** Handles a response to a claim that names no incarnation: one that has just started runs nothing. */
	handleResponse(session: BackendSession): void;
	/** Handles that the incarnation of the session has ended: it refuses connections, or another one has responded. */
	handleEnd(session: BackendSession): void;
	removeServer(serverId: string): void;
};

export type IncarnationDisputesOptions = {
	timers: TimerService;
	/** Finds the start time of the incarnation that responds at a described address under the described id. */
	findBornMs: (description: BackendServerDescription, session: BackendSession) => Promise<number | undefined>;
	/** Called when the incarnation in use has responded, so that the description of another one is wrong. */
	onRefuted: (known: BackendServerDescription, refuted: BackendServerDescription) => void;
	/** Called when the incarnation in use has ended, so that the described one may be used. */
	onConfirmed: (description: BackendServerDescription) => void;
};

/**
 * Creates the disputes, initially none. A description can come from another writer than the backend server: with a later start
 * time under the id of one in use, it would end the runs there as far as the placer is concerned, which then start again
 * elsewhere. So the backend server is asked first, at the known address and at the described one.
 * @param options - The clock and the callbacks.
 *
 * @example
 * ```ts
 * const disputes = createIncarnationDisputes({timers, findBornMs, onRefuted, onConfirmed});
 * disputes.addDescription(description, session); // Sends a claim.
 * disputes.handleSameIncarnation(session); // Calls onRefuted.
 * ```
 */
export function createIncarnationDisputes({timers, findBornMs, onRefuted, onConfirmed}: IncarnationDisputesOptions): IncarnationDisputes {
	const disputed = new Map<string, BackendServerDescription>();
	const refutedBornMs = new Map<string, number>();

	function takeDescription(session: BackendSession): BackendServerDescription | undefined {
		const {id} = session.getDescription();
		const description = disputed.get(id);
		disputed.delete(id);
		return description;
	}

	/** The callbacks follow later, since the session is still handling the response. */
	function confirm(session: BackendSession): void {
		const description = takeDescription(session);
		if (description !== undefined) {
			timers.addTimer(0, () => {
				onConfirmed(description);
			});
		}
	}

	function refute(session: BackendSession): void {
		const description = takeDescription(session);
		if (description !== undefined) {
			refutedBornMs.set(description.id, description.bornMs);
			timers.addTimer(0, () => {
				onRefuted(session.getDescription(), description);
			});
		}
	}

	/** A backend server that names the described start time itself has started again: it runs nothing of before. */
	async function verifyDescription(description: BackendServerDescription, session: BackendSession): Promise<void> {
		const bornMs = await findBornMs(description, session);
		if (bornMs === description.bornMs && disputed.get(description.id)?.bornMs === bornMs) {
			confirm(session);
		}
	}

	return {
		addDescription(description, session) {
			const {id, bornMs} = description;
			if (refutedBornMs.get(id) === bornMs) {
				return;
			}

			const isKnown = disputed.get(id)?.bornMs === bornMs;
			disputed.set(id, description);
			if (!isKnown) {
				session.verify();
				void verifyDescription(description, session);
			}
		},
		handleSameIncarnation: refute,
		handleResponse(session) {
			if (session.getRuns().size > 0) {
				refute(session);
			} else {
				confirm(session);
			}
		},
		handleEnd: confirm,
		removeServer(serverId) {
			disputed.delete(serverId);
			refutedBornMs.delete(serverId);
		},
	};
}
