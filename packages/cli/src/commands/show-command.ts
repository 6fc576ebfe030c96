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
		description: 'Print the objects in force, or of an earlier version.',
		details: 'Prints an INI file that can be edited and published.',
		examples: [['The version in force', '$0 show > objects/all.ini'], ['An earlier version', '$0 show --version 40']],
	};

	version = createStringOption('--version', {description: 'The version; the one in force if not given.'});

	protected override async run(): Promise<ExitCode> {
		const version = this.version === undefined ? undefined : parseVersionOrThrow(this.version);
		const configuration = await getConfigurationOrThrow(this.getApiOrThrow(), version);
		this.print(configuration, `; version ${configuration.version}\n\n${formatConfigurationObjects(configuration.objects)}`.trimEnd());
		return exitCodes.ok;
	}
}
