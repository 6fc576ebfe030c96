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
		description: 'Show what one daemon sees.',
		details: 'Shows the version in force, what is cut off, availability zones, daemons, backend servers, ejections, and limits with their use.',
		examples: [['One screen', '$0 status --operators-url http://10.1.0.11:7002']],
	};

	protected override async run(): Promise<ExitCode> {
		const status = await getResponseOrThrow(this.getApiOrThrow(), {method: 'GET', path: '/v1/status'}, statusResponseSchema);
		this.print(status, formatStatus(status));
		return exitCodes.ok;
	}
}
