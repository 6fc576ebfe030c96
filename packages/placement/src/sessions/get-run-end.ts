import type {EndedRun, StartStopResponse} from '../ports/backend-server-client.js';
import type {RunEnd} from './run.js';

/**
 * Maps the outcome that a backend server reports for a run to the end of the run as the placer sees it.
 * @param outcome - The reported outcome.
 */
export function getRunEnd(outcome: EndedRun['outcome']): RunEnd {
	switch (outcome) {
		case 'done':
		case 'failed':
		case 'stopped':
		case 'lapsed': {
			return outcome;
		}

		case 'broken':
		case 'alone': {
			return 'stopped';
		}
	}
}

/**
 * Maps the rejection of a start request to the end of the run as the placer sees it.
 * @param reason - Why the backend server rejected the request.
 */
export function getRejectedStartEnd(reason: Extract<StartStopResponse, {outcome: 'rejected'}>['reason']): RunEnd {
	switch (reason) {
		case 'no-room':
		case 'unhealthy':
		case 'old-run': {
			return reason;
		}

		case 'fenced':
		case 'lease-over':
		case 'malformed':
		case 'other-incarnation': {
			return 'not-started';
		}
	}
}
