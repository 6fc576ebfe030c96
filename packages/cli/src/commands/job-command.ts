import type {Usage} from 'clipanion';
import type {ApiRequest} from '../api/api-client.js';
import {CommandError} from '../errors/command-error.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {formatOutcome} from '../formatting/format-outcome.js';
import {findOutcomeOrThrow, getOutcomeExitCode} from '../submitting/get-outcome.js';
import {CallersCommand} from './callers-command.js';
import {createStringOption} from './options.js';

/** The time that a daemon may take to respond after the wait. */
const responseGraceMs = 10_000;

export class JobCommand extends CallersCommand {
	static override paths = [['job']];

	static override usage: Usage = {
		category: 'Jobs',
		description: 'Show the outcome of a job.',
		details: 'Exit code 0 if the job is complete or still open, 1 if it failed or is unknown, 4 if it was refused.',
		examples: [['Show the current state', '$0 job quote-4711'], ['Wait up to 5 s for the outcome', '$0 job quote-4711 --wait-ms 5000']],
	};

	id = createStringOption({name: 'id'});
	waitMs = createStringOption('--wait-ms', '0', {description: 'The time to wait for the outcome, in milliseconds.'});

	protected override async run(): Promise<ExitCode> {
		if (!/^\d{1,6}$/v.test(this.waitMs)) {
			throw new CommandError('bad-wait', `"${this.waitMs}" is not a number of milliseconds`, exitCodes.usage);
		}

		const request: ApiRequest = {
			method: 'GET',
			path: `/v1/jobs/${encodeURIComponent(this.id)}?waitMs=${this.waitMs}`,
			responseTimeoutMs: Number(this.waitMs) + responseGraceMs,
		};
		const outcome = findOutcomeOrThrow(await this.getApiOrThrow().send(request), request);
		if (outcome === undefined) {
			this.print({id: this.id, isOpen: true}, `${this.id} is still open`);
			return exitCodes.ok;
		}

		this.print(outcome, formatOutcome(outcome));
		return getOutcomeExitCode(outcome);
	}
}
