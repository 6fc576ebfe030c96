import type {Usage} from 'clipanion';
import type {ExitCode} from '../exit-codes.js';
import {readCheckedObjectsOrThrow} from '../files/read-checked-objects.js';
import {createStringOption} from './options.js';
import {PublishingCommand} from './publishing-command.js';

export class PublishCommand extends PublishingCommand {
	static override paths = [['publish']];

	static override usage: Usage = {
		category: 'Configuration',
		description: 'Publish the objects of a folder as a new version.',
		details: `
			Checks all objects, shows the changes and publishes them. They take effect together or not at all.

			If another version was published first, nothing is published, the other change is shown, and the exit code is 5.
			If the outcome remains unknown, the exit code is 6 and the publish id for publishing again is printed.
		`,
		examples: [
			['Publish', '$0 publish objects/ --operators-url http://10.1.0.11:7002'],
			['Publish only if version 41 is still in force', '$0 publish objects/ --base 41'],
		],
	};

	folder = createStringOption({name: 'folder'});

	protected override async run(): Promise<ExitCode> {
		const objects = await readCheckedObjectsOrThrow(this.folder);
		return this.publish(await this.getBaseOrThrow(), objects);
	}
}
