import {formatObjectDifferences, getObjectDifferences, type ConfigurationObjects} from '@camphortack/configuration';
import type {Usage} from 'clipanion';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {readCheckedObjectsOrThrow} from '../files/read-checked-objects.js';
import {getConfigurationOrThrow} from '../publishing/get-configuration.js';
import {OperatorsCommand} from './operators-command.js';
import {createStringOption} from './options.js';

export class DiffCommand extends OperatorsCommand {
	static override paths = [['diff']];

	static override usage: Usage = {
		category: 'Configuration',
		description: 'Show the changes that publishing a folder of objects would make.',
		details: 'Compares with the version in force, or with another folder if --before is given, which needs no daemon.',
		examples: [
			['Compare with the version in force', '$0 diff objects/ --operators-url http://10.1.0.11:7002'],
			['Compare with another folder', '$0 diff objects/ --before objects-of-yesterday/'],
		],
	};

	folder = createStringOption({name: 'folder'});
	before = createStringOption('--before', {description: 'The folder to compare with.'});

	protected override async run(): Promise<ExitCode> {
		const after = await readCheckedObjectsOrThrow(this.folder);
		const differences = getObjectDifferences(await this.#getBefore(), after);
		this.print({differences}, differences.length === 0 ? 'no differences' : formatObjectDifferences(differences));
		return exitCodes.ok;
	}

	async #getBefore(): Promise<ConfigurationObjects> {
		if (this.before !== undefined) {
			return readCheckedObjectsOrThrow(this.before);
		}

		const {objects} = await getConfigurationOrThrow(this.getApiOrThrow());
		return objects;
	}
}
