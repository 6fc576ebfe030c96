import {checkConfigurationFiles, hasErrors} from '@camphortack/configuration';
import type {Usage} from 'clipanion';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {readConfigurationFolderOrThrow} from '../files/read-files.js';
import {formatFindings} from '../formatting/format-findings.js';
import {BaseCommand} from './base-command.js';
import {createStringOption} from './options.js';

export class CheckCommand extends BaseCommand {
	static override paths = [['check']];

	static override usage: Usage = {
		category: 'Configuration',
		description: 'Check objects without a daemon.',
		details: 'Checks the whole set together and prints every finding with file, line and object. Exit code 1 if one of them is an error.',
		examples: [['Check every .ini file of a folder', '$0 check objects/'], ['For a program', '$0 check objects/ --json']],
	};

	folder = createStringOption({name: 'folder'});

	protected override async run(): Promise<ExitCode> {
		const {findings} = checkConfigurationFiles(await readConfigurationFolderOrThrow(this.folder));
		this.print({findings}, formatFindings(findings));
		return hasErrors(findings) ? exitCodes.failed : exitCodes.ok;
	}
}
