import path from 'node:path';
import process from 'node:process';
import {createRecord} from './record.js';

const limitMs = 110_000;

/**
 * Runs a case and ends the process: with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
 * @param folder - The folder of the case, where its record is written.
 * @param play - Plays the case. It gets the record, whether the disruption takes place, and a function that registers what has to be
 * ended; it returns a text for each break of the rule.
 */
export async function runCase(folder, play) {
	const isDisrupted = process.env.TROUBLE !== '0';
	const record = createRecord(path.join(folder, 'record.txt'));
	const endings = [];

	async function endAll() {
		for (const end of endings.toReversed()) {
			// eslint-disable-next-line no-await-in-loop -- The latest first.
			await end();
		}
	}

	const timer = setTimeout(async () => {
		record.write('case-timed-out');
		await finish(2);
	}, limitMs);

	async function finish(code) {
		clearTimeout(timer);
		await endAll();
		record.write('case-ended', {code});
		await record.close();
		process.exit(code); // eslint-disable-line unicorn/no-process-exit -- This is the program of a case.
	}

	for (const name of ['SIGINT', 'SIGTERM']) {
		process.once(name, async () => {
			await finish(2);
		});
	}

	record.write('case-started', {isDisrupted});
	try {
		const breaks = await play({
			record,
			isDisrupted,
			onEnd(end) {
				endings.push(end);
			},
		});
		for (const text of breaks) {
			record.write('rule-broken', {text});
			process.stdout.write(`broken: ${text}\n`);
		}

		process.stdout.write(breaks.length === 0 ? 'held\n' : '');
		await finish(breaks.length === 0 ? 0 : 1);
	} catch (error) {
		record.write('case-failed', {reason: error.stack});
		process.stdout.write(`could not run: ${error.message}\n`);
		await finish(2);
	}
}
