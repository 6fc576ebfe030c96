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
		description: 'Check objects locally, without a daemon.',
		details: 'Checks all objects together and prints all findings with file, line and object. Exit code 1 if any of them is an error.',
		examples: [['Check all .ini files of a folder', '$0 check objects/'], ['Print the findings as JSON', '$0 check objects/ --json']],
	};

	folder = createStringOption({name: 'folder'});

	protected override async run(): Promise<ExitCode> {
		const {findings} = checkConfigurationFiles(await readConfigurationFolderOrThrow(this.folder));
		this.print({findings}, formatFindings(findings));
		return hasErrors(findings) ? exitCodes.failed : exitCodes.ok;
	}
}
