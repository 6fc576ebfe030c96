import type {Usage} from 'clipanion';
import {whereResponseSchema} from '../api/api-schemas.js';
import {getResponseOrThrow} from '../api/get-response.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {readInputOrThrow} from '../files/read-files.js';
import {formatWhere} from '../formatting/format-where.js';
import {parseSubmissionOrThrow} from '../submitting/parse-submission.js';
import {OperatorsCommand} from './operators-command.js';
import {createStringOption} from './options.js';

export class WhereCommand extends OperatorsCommand {
	static override paths = [['where']];

	static override usage: Usage = {
		category: 'Operation',
		description: 'Explain where a job or a request would go now, without sending it.',
		details: `
			Reads the same JSON as \`submit\` and asks one daemon, which starts nothing and changes no state. Shows the refusal that it
			would give, or the expected wait, the best five backend servers for the first task with the expected completion, what
			excludes the others, and the daemons to which tasks could be handed over. Limits are not checked.

			Exit code 0 if the job would be accepted, 4 if it would be refused.
		`,
		examples: [['Explain a job', '$0 where quote.json --operators-url http://10.1.0.11:7002']],
	};

	file = createStringOption({name: 'file'});

	protected override async run(): Promise<ExitCode> {
		const {body} = parseSubmissionOrThrow(this.file, await readInputOrThrow(this.file, this.context.stdin));
		const explanation = await getResponseOrThrow(this.getApiOrThrow(), {
			method: 'POST', path: '/v1/where', body, isSafe: true,
		}, whereResponseSchema);
		this.print(explanation, formatWhere(explanation));
		return explanation.refusal === undefined ? exitCodes.ok : exitCodes.refused;
	}
}
