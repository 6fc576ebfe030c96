import type {
	ClaimAnswer, ClientMessage, ClientMessageOf, KeeperMessage,
} from '../messages/register-messages.js';
import type {OpenJob} from './open-job.js';
import {getStoredDecision, type OpenJobs} from './open-jobs.js';

export type ChosenIdClaimsOptions = {
	incarnation: string;
	openJobs: OpenJobs;
	claimTimeoutMs: number;
	findOwnerId: (id: string) => string | undefined;
	send: (peerId: string, message: ClientMessage | KeeperMessage) => void;
};

/** Asks the keeper that owns an id of a caller's choosing. */
export type ChosenIdClaims = {
	claim(open: OpenJob): void;
	/** Gives back a claim that started nothing. */
	release(open: OpenJob): void;
	handleClaimAnswer(fromPeerId: string, message: ClientMessageOf<'register.claim-answer'>): void;
	handleAttach(fromPeerId: string, message: ClientMessageOf<'register.attach'>): void;
	/** Claims again, since the daemon that was said to run the job does not. */
	handleNotHere(open: OpenJob): void;
};

/**
 * Creates the claims of ids of the callers' choosing.
 * @param options - The jobs and the ports.
 */
export function createChosenIdClaims(options: ChosenIdClaimsOptions): ChosenIdClaims {
	const {
		incarnation, openJobs, claimTimeoutMs, findOwnerId, send,
	} = options;

	function sendClaim(open: OpenJob): void {
		const {job, contentHash, claim} = open;
		const ownerId = findOwnerId(job.id);
		if (ownerId !== undefined) {
			send(ownerId, {
				kind: 'register.claim',
				id: job.id,
				contentHash,
				taskCount: job.tasks.length,
				incarnation,
				claim,
			});
		}
	}

	function sendRelease(id: string, claim: number): void {
		const ownerId = findOwnerId(id);
		if (ownerId !== undefined) {
			send(ownerId, {
				kind: 'register.release',
				id,
				incarnation,
				claim,
			});
		}
	}

	function waitForOwner(open: OpenJob): void {
		open.state = 'claiming';
		openJobs.retryUntilTimeout(open, claimTimeoutMs, () => {
			sendClaim(open);
		});
	}

	function applyAnswer(open: OpenJob, answer: ClaimAnswer): void {
		switch (answer.kind) {
			case 'start': {
				openJobs.start(open);
				break;
			}

			case 'attach': {
				attach(open, answer);
				break;
			}

			case 'outcome': {
				openJobs.settle(open, getStoredDecision(answer.outcome));
				break;
			}

			case 'refused': {
				openJobs.settle(open, answer);
				break;
			}
		}
	}

	function attach(open: OpenJob, answer: Extract<ClaimAnswer, {kind: 'attach'}>): void {
		if (open.state === 'claiming') {
			open.state = 'attached';
			tellToAttach(open);

			// The owner is asked again, since it may know meanwhile that the other daemon is gone.
			openJobs.retryUntilDeadline(open, () => {
				sendClaim(open);
			});
		}

		send(answer.daemonId, {
			kind: 'register.attach',
			request: open.request,
			id: open.job.id,
			incarnation: answer.incarnation,
			claim: answer.claim,
		});
	}

	function tellToAttach(open: OpenJob): void {
		if (!open.isToldToAttach) {
			open.isToldToAttach = true;
			const [firstCopy] = open.copies;
			firstCopy?.onDecision({kind: 'attach'});
		}
	}

	return {
		claim(open) {
			waitForOwner(open);
			sendClaim(open);
		},
		release(open) {
			sendRelease(open.job.id, open.claim);
		},
		handleClaimAnswer(_fromPeerId, message) {
			if (message.incarnation !== incarnation) {
				return;
			}

			const open = openJobs.findByClaim(message.claim);
			const isWaiting = open?.state === 'claiming' || open?.state === 'attached';
			if (open === undefined && message.answer.kind === 'start') {
				// The copy stopped waiting before the answer came.
				sendRelease(message.id, message.claim);
			} else if (open !== undefined && isWaiting) {
				applyAnswer(open, message.answer);
			}
		},
		handleAttach(fromPeerId, message) {
			const {request, id, claim} = message;
			const isOwnIncarnation = message.incarnation === incarnation;
			const open = isOwnIncarnation ? openJobs.findByClaim(claim) : undefined;
			if (open !== undefined) {
				openJobs.addRemoteCopy(open, fromPeerId, request);
				return;
			}

			if (isOwnIncarnation) {
				// A claim that is not open started nothing, or its outcome is stored; then the release has no effect.
				sendRelease(id, claim);
			}

			send(fromPeerId, {kind: 'register.not-here', request, incarnation});
		},
		handleNotHere: waitForOwner,
	};
}
