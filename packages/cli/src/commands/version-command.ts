import type {Usage} from 'clipanion';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {getPackageVersion} from '../utils/get-package-version.js';
import {BaseCommand} from './base-command.js';

export class VersionCommand extends BaseCommand {
	static override paths = [['version'], ['--version']];

	static override usage: Usage = {
		description: 'Print the version of this program.',
		examples: [['Print the version', '$0 version']],
	};

	protected override async run(): Promise<ExitCode> {
		const version = getPackageVersion();
		this.print({version}, version);
		return exitCodes.ok;
	}
}
