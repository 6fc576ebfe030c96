import {formatConfigurationObjects} from '@camphortack/configuration';
import type {Usage} from 'clipanion';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {getConfigurationOrThrow, parseVersionOrThrow} from '../publishing/get-configuration.js';
import {OperatorsCommand} from './operators-command.js';
import {createStringOption} from './options.js';

export class ShowCommand extends OperatorsCommand {
	static override paths = [['show']];

	static override usage: Usage = {
		category: 'Configuration',
		description: 'Print the objects of the version in force or of an earlier version.',
		details: 'The output is an INI file that can be edited and published.',
		examples: [['Save the version in force', '$0 show > objects/all.ini'], ['Print an earlier version', '$0 show --version 40']],
	};

	version = createStringOption('--version', {description: 'The version; defaults to the version in force.'});

	protected override async run(): Promise<ExitCode> {
		const version = this.version === undefined ? undefined : parseVersionOrThrow(this.version);
		const configuration = await getConfigurationOrThrow(this.getApiOrThrow(), version);
		this.print(configuration, `; version ${configuration.version}\n\n${formatConfigurationObjects(configuration.objects)}`.trimEnd());
		return exitCodes.ok;
	}
}
