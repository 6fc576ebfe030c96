import {decodeOutcome, type PlacementMessage} from '@camphortack/placement';
import type {JobSubmitter} from './job-submitter.js';

/**
 * Handles a message of a placer to an entry daemon. Returns false if the message is one to a placer.
 * @param jobSubmitter - The submitter of the entry daemon.
 * @param fromId - The sender.
 * @param message - The message.
 */
export function handleEntryMessage(jobSubmitter: JobSubmitter, fromId: string, message: PlacementMessage): boolean {
	switch (message.kind) {
		case 'placement.result': {
			jobSubmitter.handleResult(message.jobId, decodeOutcome(message.result), fromId);
			return true;
		}

		case 'placement.cancelled': {
			jobSubmitter.handleCancelled(message.jobId);
			return true;
		}

		case 'placement.unknown-jobs': {
			jobSubmitter.handleUnknownJobs(message.jobIds, {view: {term: message.term ?? 0, placerId: fromId}, incarnation: message.incarnation ?? ''});
			return true;
		}

		case 'placement.not-begun': {
			jobSubmitter.handleNotBegun({term: message.term, placerId: fromId}, message.jobIds);
			return true;
		}

		case 'placement.submit':
		case 'placement.cancel':
		case 'placement.open-jobs':
		case 'placement.record-servers':
		case 'placement.servers-recorded':
		case 'placement.record-request':
		case 'placement.record': {
			return false;
		}
	}
}
