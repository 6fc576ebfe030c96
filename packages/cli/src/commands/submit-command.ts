import type {Usage} from 'clipanion';
import type {ExitCode} from '../exit-codes.js';
import {readInputOrThrow} from '../files/read-files.js';
import {formatOutcome} from '../formatting/format-outcome.js';
import {getOutcomeExitCode} from '../submitting/get-outcome.js';
import {parseSubmissionOrThrow} from '../submitting/parse-submission.js';
import {getSubmissionId, submitJobOrThrow} from '../submitting/submit-job.js';
import {CallersCommand} from './callers-command.js';
import {createStringOption} from './options.js';

export class SubmitCommand extends CallersCommand {
	static override paths = [['submit']];

	static override usage: Usage = {
		category: 'Jobs',
		description: 'Submit a job or a single request and wait for its outcome.',
		details: `
			Reads JSON: a job has \`tasks\`, a request has a \`payload\`. Without an \`id\`, a ticket is obtained first,
			so that the submission can be resent after a lost response and still starts at most once.

			Exit code 0 if the job is complete, 1 if it failed, 4 if it was refused, 5 if the id was already used for another job,
			6 if the outcome is unknown.
		`,
		examples: [
			['Submit a file', '$0 submit quote.json --callers-url http://10.1.0.11:7000'],
			['Submit from standard input', 'echo \'{"customer":"workshop-chain","service":"polish-quote","payload":{}}\' | $0 submit -'],
		],
	};

	file = createStringOption({name: 'file'});

	protected override async run(): Promise<ExitCode> {
		const submission = parseSubmissionOrThrow(this.file, await readInputOrThrow(this.file, this.context.stdin));
		const client = this.getApiOrThrow();
		const id = await getSubmissionId(client, submission);
		this.printProgress(`submitting ${id}`);
		const outcome = await submitJobOrThrow(id, submission, {
			client,
			wait: this.context.wait,
			onProgress: text => {
				this.printProgress(text);
			},
		});
		this.print(outcome, formatOutcome(outcome));
		return getOutcomeExitCode(outcome);
	}
}
