import type {Usage} from 'clipanion';
import {limitsResponseSchema} from '../api/api-schemas.js';
import {getResponseOrThrow} from '../api/get-response.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {formatLimits} from '../formatting/format-limits.js';
import {OperatorsCommand} from './operators-command.js';

export class LimitsCommand extends OperatorsCommand {
	static override paths = [['limits']];

	static override usage: Usage = {
		category: 'Operation',
		description: 'Show the limits, the share of the daemon in each, and their usage.',
		examples: [['Show the limits', '$0 limits']],
	};

	protected override async run(): Promise<ExitCode> {
		const response = await getResponseOrThrow(this.getApiOrThrow(), {method: 'GET', path: '/v1/limits'}, limitsResponseSchema);
		this.print(response, formatLimits(response.limits));
		return exitCodes.ok;
	}
}
