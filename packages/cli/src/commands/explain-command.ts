import {Option, type Usage} from 'clipanion';
import {CommandError} from '../errors/command-error.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {findTimeline} from '../explaining/find-timeline.js';
import {formatTimeline} from '../explaining/format-timeline.js';
import {parseLogRecords} from '../explaining/log-record.js';
import {readInputOrThrow} from '../files/read-files.js';
import {BaseCommand} from './base-command.js';
import {createStringOption} from './options.js';

export class ExplainCommand extends BaseCommand {
	static override paths = [['explain']];

	static override usage: Usage = {
		category: 'Operation',
		description: 'Reconstruct from the logs what happened to a job or a backend server.',
		details: 'Prints the log lines of a job or backend server and related events in chronological order. Exit code 1 if no line contains the id.',
		examples: [['Explain a job from the logs of all daemons', '$0 explain 5c0e7a21d94b36f8 logs/*.log'], ['Read the output of a log collector', 'cat all.log | $0 explain 5c0e7a21d94b36f8 -']],
	};

	id = createStringOption({name: 'id'});
	logs = Option.Rest({name: 'logs', required: 1});

	protected override async run(): Promise<ExitCode> {
		const texts = await Promise.all(this.logs.map(async location => readInputOrThrow(location, this.context.stdin)));
		const parsed = texts.map(text => parseLogRecords(text));
		const unreadableCount = parsed.reduce((sum, log) => sum + log.unreadableCount, 0);
		const timeline = findTimeline(parsed.flatMap(log => log.records), this.id);
		if (unreadableCount > 0) {
			this.printProgress(`${unreadableCount} lines could not be parsed and are omitted`);
		}

		if (timeline.length === 0) {
			throw new CommandError('not-found', `no line of the logs contains "${this.id}"`, exitCodes.failed);
		}

		this.print({story: timeline, unreadableCount}, formatTimeline(timeline));
		return exitCodes.ok;
	}
}
