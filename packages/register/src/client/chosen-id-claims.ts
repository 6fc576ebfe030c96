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

/** Claims caller-chosen ids at the keepers that own them. */
export type ChosenIdClaims = {
	claim(openJob: OpenJob): void;
	/** Releases a claim whose job was not started. */
	release(openJob: OpenJob): void;
	handleClaimAnswer(fromPeerId: string, message: ClientMessageOf<'register.claim-answer'>): void;
	handleAttach(fromPeerId: string, message: ClientMessageOf<'register.attach'>): void;
	/** Repeats the claim after the daemon that was reported to run the job has answered that it does not run it. */
	handleNotHere(openJob: OpenJob): void;
};

/**
 * Creates the component that claims caller-chosen ids.
 * @param options - The open jobs and the ports.
 */
export function createChosenIdClaims(options: ChosenIdClaimsOptions): ChosenIdClaims {
	const {
		incarnation, openJobs, claimTimeoutMs, findOwnerId, send,
	} = options;

	function sendClaim(openJob: OpenJob): void {
		const {job, contentHash, claim} = openJob;
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

	function waitForOwner(openJob: OpenJob): void {
		openJob.state = 'claiming';
		openJobs.retryUntilTimeout(openJob, claimTimeoutMs, () => {
			sendClaim(openJob);
		});
	}

	function applyAnswer(openJob: OpenJob, answer: ClaimAnswer): void {
		switch (answer.kind) {
			case 'start': {
				openJobs.start(openJob);
				break;
			}

			case 'attach': {
				attach(openJob, answer);
				break;
			}

			case 'outcome': {
				openJobs.settle(openJob, getStoredDecision(answer.outcome));
				break;
			}

			case 'refused': {
				openJobs.settle(openJob, answer);
				break;
			}
		}
	}

	function attach(openJob: OpenJob, answer: Extract<ClaimAnswer, {kind: 'attach'}>): void {
		if (openJob.state === 'claiming') {
			openJob.state = 'attached';
			notifyAttach(openJob);

			// Repeats the claim, because the owner may have learned in the meantime that the other daemon is gone.
			openJobs.retryUntilDeadline(openJob, () => {
				sendClaim(openJob);
			});
		}

		send(answer.daemonId, {
			kind: 'register.attach',
			request: openJob.request,
			id: openJob.job.id,
			incarnation: answer.incarnation,
			claim: answer.claim,
		});
	}

	function notifyAttach(openJob: OpenJob): void {
		if (!openJob.isAttachNotified) {
			openJob.isAttachNotified = true;
			const [firstCopy] = openJob.copies;
			firstCopy?.onDecision({kind: 'attach'});
		}
	}

	return {
		claim(openJob) {
			waitForOwner(openJob);
			sendClaim(openJob);
		},
		release(openJob) {
			sendRelease(openJob.job.id, openJob.claim);
		},
		handleClaimAnswer(_fromPeerId, message) {
			if (message.incarnation !== incarnation) {
				return;
			}

			const openJob = openJobs.findByClaim(message.claim);
			const isWaiting = openJob?.state === 'claiming' || openJob?.state === 'attached';
			if (openJob === undefined && message.answer.kind === 'start') {
				// All copies stopped waiting before the answer arrived, so the granted claim is released.
				sendRelease(message.id, message.claim);
			} else if (openJob !== undefined && isWaiting) {
				applyAnswer(openJob, message.answer);
			}
		},
		handleAttach(fromPeerId, message) {
			const {request, id, claim} = message;
			const isOwnIncarnation = message.incarnation === incarnation;
			const openJob = isOwnIncarnation ? openJobs.findByClaim(claim) : undefined;
			if (openJob !== undefined) {
				openJobs.addRemoteCopy(openJob, fromPeerId, request);
				return;
			}

			if (isOwnIncarnation) {
				// Either the claim started no job, or its outcome is already stored and the release has no effect.
				sendRelease(id, claim);
			}

			send(fromPeerId, {kind: 'register.not-here', request, incarnation});
		},
		handleNotHere: waitForOwner,
	};
}
