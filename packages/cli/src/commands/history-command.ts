import type {Usage} from 'clipanion';
import {historyResponseSchema} from '../api/api-schemas.js';
import {getResponseOrThrow} from '../api/get-response.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {formatTable} from '../formatting/format-table.js';
import {OperatorsCommand} from './operators-command.js';

export class HistoryCommand extends OperatorsCommand {
	static override paths = [['history']];

	static override usage: Usage = {
		category: 'Configuration',
		description: 'List the published versions and their authors.',
		examples: [['List the versions', '$0 history']],
	};

	protected override async run(): Promise<ExitCode> {
		const history = await getResponseOrThrow(this.getApiOrThrow(), {method: 'GET', path: '/v1/configuration/history'}, historyResponseSchema);
		const rows = history.entries.map(entry => [String(entry.version), entry.author, entry.publishId]);
		this.print(history, formatTable(['version', 'author', 'publish id'], rows));
		return exitCodes.ok;
	}
}
