import type {Usage} from 'clipanion';
import {z} from 'zod';
import {getResponseOrThrow} from '../api/get-response.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {OperatorsCommand} from './operators-command.js';
import {createStringOption} from './options.js';

export class DrainCommand extends OperatorsCommand {
	static override paths = [['drain']];

	static override usage: Usage = {
		category: 'Operation',
		description: 'Let a daemon or a backend server finish its work without accepting new work.',
		details: 'Without --backend-server, the daemon itself drains: it refuses new work as not run and finishes the work in flight.',
		examples: [
			['Drain a daemon before its VM is replaced', '$0 drain --operators-url http://10.1.0.11:7002'],
			['Drain a backend server', '$0 drain --backend-server walnut-7'],
		],
	};

	backendServer = createStringOption('--backend-server', {description: 'The backend server to drain.'});

	protected override async run(): Promise<ExitCode> {
		const body = this.backendServer === undefined ? {} : {backendServerId: this.backendServer};
		await getResponseOrThrow(this.getApiOrThrow(), {method: 'POST', path: '/v1/drain', body}, z.unknown());
		const subject = this.backendServer === undefined ? 'the daemon' : `backend server ${this.backendServer}`;
		this.print({isDraining: true, ...body}, `${subject} is draining; see \`camphortack status\``);
		return exitCodes.ok;
	}
}
