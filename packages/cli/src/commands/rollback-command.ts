import type {Usage} from 'clipanion';
import type {ExitCode} from '../exit-codes.js';
import {getConfigurationOrThrow, parseVersionOrThrow} from '../publishing/get-configuration.js';
import {createStringOption} from './options.js';
import {PublishingCommand} from './publishing-command.js';

export class RollbackCommand extends PublishingCommand {
	static override paths = [['rollback']];

	static override usage: Usage = {
		category: 'Configuration',
		description: 'Publish the objects of an earlier version again.',
		details: 'Creates a new version with the earlier content; version numbers always increase.',
		examples: [['Restore the content of version 40', '$0 rollback 40']],
	};

	version = createStringOption({name: 'version'});

	protected override async run(): Promise<ExitCode> {
		const earlier = await getConfigurationOrThrow(this.getApiOrThrow(), parseVersionOrThrow(this.version));
		return this.publish(await this.getBaseOrThrow(), earlier.objects);
	}
}
