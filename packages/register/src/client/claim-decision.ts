import type {JobOutcome, NotRunScope, RefusalCode} from '@camphortack/core';

/**
 * What becomes of a copy of a job. `start`: run it, then call `addOutcome`; no copy of the id has started before.
 * `attach`: another copy runs; wait for the next decision, which may still be `start`. `outcome`: the answer. `refused`: this copy started nothing.
 */
export type ClaimDecision
	= {kind: 'start'}
		| {kind: 'attach'}
		| {kind: 'outcome'; outcome: JobOutcome}
		| {kind: 'refused'; code: RefusalCode; notRun: NotRunScope};
