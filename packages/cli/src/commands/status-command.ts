import type {Usage} from 'clipanion';
import {statusResponseSchema} from '../api/api-schemas.js';
import {getResponseOrThrow} from '../api/get-response.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {formatStatus} from '../formatting/format-status.js';
import {OperatorsCommand} from './operators-command.js';

export class StatusCommand extends OperatorsCommand {
	static override paths = [['status']];

	static override usage: Usage = {
		category: 'Operation',
		description: 'Show the status of the system as seen by one daemon.',
		details: 'Shows the version in force, evacuated availability zones, problems, availability zones, daemons, backend servers, ejections, and limits with their usage.',
		examples: [['Show the status', '$0 status --operators-url http://10.1.0.11:7002']],
	};

	protected override async run(): Promise<ExitCode> {
		const status = await getResponseOrThrow(this.getApiOrThrow(), {method: 'GET', path: '/v1/status'}, statusResponseSchema);
		this.print(status, formatStatus(status));
		return exitCodes.ok;
	}
}
