import type {Usage} from 'clipanion';
import {z} from 'zod';
import {getResponseOrThrow} from '../api/get-response.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {CallersCommand} from './callers-command.js';
import {createStringOption} from './options.js';

export class CancelCommand extends CallersCommand {
	static override paths = [['cancel']];

	static override usage: Usage = {
		category: 'Jobs',
		description: 'Cancel a job.',
		details: 'Removes queued tasks and requests running tasks to stop. The outcome of the job shows which tasks may have run.',
		examples: [['Cancel a job', '$0 cancel quote-4711']],
	};

	id = createStringOption({name: 'id'});

	protected override async run(): Promise<ExitCode> {
		const path = `/v1/jobs/${encodeURIComponent(this.id)}`;
		await getResponseOrThrow(this.getApiOrThrow(), {method: 'DELETE', path}, z.unknown());
		this.print({id: this.id, isCancelled: true}, `${this.id} is cancelled; \`camphortack job ${this.id}\` shows which tasks may have run`);
		return exitCodes.ok;
	}
}
