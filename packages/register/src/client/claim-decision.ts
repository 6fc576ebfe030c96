import type {JobOutcome, NotRunScope, RefusalCode} from '@camphortack/core';

/**
 * The decision about a submitted copy of a job.
 * - `start`: run the job, then call `addOutcome`; no other copy of the id has been started.
 * - `attach`: another copy is running; wait for the next decision, which may still be `start`.
 * - `outcome`: the final answer.
 * - `refused`: this copy has not started the job.
 */
export type ClaimDecision
	= {kind: 'start'}
		| {kind: 'attach'}
		| {kind: 'outcome'; outcome: JobOutcome}
		| {kind: 'refused'; code: RefusalCode; notRun: NotRunScope};
