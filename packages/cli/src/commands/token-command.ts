import {createHash} from 'node:crypto';
import type {Usage} from 'clipanion';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {BaseCommand} from './base-command.js';

export class TokenCommand extends BaseCommand {
	static override paths = [['token']];

	static override usage: Usage = {
		category: 'Access',
		description: 'Generate a random token and print it with its hash.',
		details: `
			Add the hash to \`tokenHashes\` of [operators] in the daemon's settings or of a [customer ...] object.
			The token itself is given to its holder and is not stored anywhere.
		`,
		examples: [['Generate a token', '$0 token']],
	};

	protected override async run(): Promise<ExitCode> {
		const {random} = this.context;
		const token = `${random.getIdentifier()}${random.getIdentifier()}`;
		const tokenHash = createHash('sha256').update(token).digest('hex');
		this.print({token, tokenHash}, `token      ${token}\ntokenHash  ${tokenHash}`);
		return exitCodes.ok;
	}
}
