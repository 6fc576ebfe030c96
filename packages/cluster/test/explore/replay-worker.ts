import process from 'node:process';
import {replayPowerReturn, type PowerReturnOptions} from '../support/power-return-schedule.js';
import {summarizeReplay, type ReplaySummary} from './summarize-replay.js';

async function replay(options: PowerReturnOptions): Promise<ReplaySummary> {
	const {seed} = options;
	try {
		return summarizeReplay(seed, await replayPowerReturn(options));
	} catch (error) {
		return {
			seed, overlaps: [], lateStarts: [], sharedTerms: 0, outcomes: {}, error: error instanceof Error ? error.stack : String(error),
		};
	}
}

async function replayAndReport(options: PowerReturnOptions): Promise<void> {
	process.send!(await replay(options));
}

process.on('message', (options: PowerReturnOptions) => {
	void replayAndReport(options);
});
