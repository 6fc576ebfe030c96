import assert from 'node:assert/strict';
import {fork} from 'node:child_process';
import {once} from 'node:events';
import {describe, it} from 'node:test';
import {RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import {z} from 'zod';
import {JsonEventLog} from '../../src/index.js';

const lineSchema = z.object({event: z.string(), count: z.number().optional()});
const reportSchema = z.object({leftOutCount: z.number()});
const writerPath = new URL('../support/write-many-events.ts', import.meta.url).pathname;

function createLog(maxLinesPerSecond: number) {
	const lines: string[] = [];
	const timers = new VirtualTimers();
	const metrics = new RecordingMetricSink();
	const log = new JsonEventLog({
		daemonId: 'daemon-1',
		timers,
		metrics,
		maxLinesPerSecond,
		destination: {
			write(line: string) {
				lines.push(line);
			},
		},
	});
	return {
		log, timers, metrics, lines,
	};
}

describe('JsonEventLog', () => {
	const cases: Array<{eventCount: number; maxLines: number; lineCount: number; leftOutCount: number}> = [
		{
			eventCount: 3, maxLines: 5, lineCount: 3, leftOutCount: 0,
		},
		{
			eventCount: 5, maxLines: 5, lineCount: 5, leftOutCount: 0,
		},
		{
			eventCount: 12, maxLines: 5, lineCount: 5, leftOutCount: 7,
		},
	];
	for (const {eventCount, maxLines, lineCount, leftOutCount} of cases) {
		it(`${eventCount} events in a second with a limit of ${maxLines} result in ${lineCount} lines and ${leftOutCount} left out`, () => {
			const {log, timers, metrics, lines} = createLog(maxLines);
			for (let index = 0; index < eventCount; index++) {
				log.write('peer-connected', {peer: `daemon-${index}`});
			}

			assert.equal(lines.length, lineCount);
			timers.advance(1000);
			log.write('peer-lost', {peer: 'daemon-0'});
			assert.equal(metrics.getCount('log-lines-left-out'), leftOutCount);
			const summary = lines.map(line => lineSchema.parse(JSON.parse(line))).find(({event}) => event === 'log-lines-left-out');
			assert.equal(summary?.count, leftOutCount === 0 ? undefined : leftOutCount);
		});
	}

	it('a reader that does not read neither blocks the process nor keeps it from exiting, and dropped lines are counted', async () => {
		const writer = fork(writerPath, {
			execArgv: ['--disable-warning=DEP0111', '-C', 'camphortack-source', '--import', 'tsx'],
			stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
		});
		const messages: unknown[] = await once(writer, 'message');
		const {leftOutCount} = reportSchema.parse(messages[0]);
		assert.ok(leftOutCount > 0);
		writer.send('end');
		const exitValues: unknown[] = await once(writer, 'exit');
		assert.equal(exitValues[0], 0);
		writer.stdout!.destroy();
	});
});
