import process from 'node:process';
import {runConsensusSchedules} from '../../../consensus/test/support/run-consensus-schedules.js';
import {runRegisterSchedules} from '../../../register/test/support/register-schedules.js';
import {runLimitSchedules} from '../../src/explore/limits/run-limit-schedules.js';

type Exploration = {
	part: 'register' | 'consensus' | 'limits';
	/** The fraction of all schedules that explore this component. */
	share: number;
	run: (count: number, seed: number) => void;
};

const explorations: Exploration[] = [
	{part: 'register', share: 0.6, run: runRegisterSchedules},
	{part: 'consensus', share: 0.3, run: runConsensusSchedules},
	{part: 'limits', share: 0.1, run: runLimitSchedules},
];
const defaultCount = 10_000;

const [count = defaultCount, seed = Date.now() % 1_000_000, part] = process.argv.slice(2).map((word, index) => (index < 2 ? Number(word) : word));

for (const exploration of explorations) {
	if (part === undefined || part === exploration.part) {
		const schedules = Math.ceil(Number(count) * exploration.share);
		const startedAtMs = performance.now();
		process.stdout.write(`${exploration.part}: ${schedules} schedules, seed ${seed} ...\n`);
		try {
			exploration.run(schedules, Number(seed));
			process.stdout.write(`${exploration.part}: no check failed in ${Math.round((performance.now() - startedAtMs) / 1000)} s\n`);
		} catch (error) {
			process.exitCode = 1;
			process.stdout.write(`${exploration.part}: ${error instanceof Error ? error.message : String(error)}\n`);
		}
	}
}
