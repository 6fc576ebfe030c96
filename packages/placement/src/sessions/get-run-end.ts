import type {EndedRun, StartStopResponse} from '../ports/backend-server-client.js';
import type {RunEnd} from './run.js';

/**
 * Gets what the end of a run means for its task.
 * @param how - How the backend server says that it ended.
 */
export function getRunEnd(how: EndedRun['outcome']): RunEnd {
	switch (how) {
		case 'done':
		case 'failed':
		case 'stopped':
		case 'lapsed': {
			return how;
		}

		case 'broken':
		case 'alone': {
			return 'stopped';
		}
	}
}

/**
 * Gets what a rejected start means for its task.
 * @param reason - Why the backend server did not start it.
 */
export function getRejectedEnd(reason: Extract<StartStopResponse, {outcome: 'rejected'}>['reason']): RunEnd {
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
