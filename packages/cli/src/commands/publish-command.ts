import type {Usage} from 'clipanion';
import type {ExitCode} from '../exit-codes.js';
import {readCheckedObjectsOrThrow} from '../files/read-checked-objects.js';
import {createStringOption} from './options.js';
import {PublishingCommand} from './publishing-command.js';

export class PublishCommand extends PublishingCommand {
	static override paths = [['publish']];

	static override usage: Usage = {
		category: 'Configuration',
		description: 'Publish a folder of objects as the new version.',
		details: `
			Checks the whole set, shows the change and publishes it. It takes effect as a whole or not at all.

			If somebody else published first, nothing is published, the other change is shown, and the exit code is 5.
			If the outcome stays unknown, the exit code is 6 and the publish id to send again is printed.
		`,
		examples: [
			['Publish', '$0 publish objects/ --operators-url http://10.1.0.11:7002'],
			['Only if version 41 is still in force', '$0 publish objects/ --base 41'],
		],
	};

	folder = createStringOption({name: 'folder'});

	protected override async run(): Promise<ExitCode> {
		const objects = await readCheckedObjectsOrThrow(this.folder);
		return this.publish(await this.getBaseOrThrow(), objects);
	}
}
