import type {JobSubmission, requestSubmissionSchema} from '@camphortack/core';
import type {z} from 'zod';

/**
 * Creates the job of a single request: one task with its payload.
 * @param request - The request.
 */
export function createJobFromRequest({payload, declaredRunTimeMs, needs, ...submission}: z.output<typeof requestSubmissionSchema>): JobSubmission {
	return {...submission, tasks: [{payload, declaredRunTimeMs, needs}]};
}
