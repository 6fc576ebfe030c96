import process from 'node:process';
import {mixedKinds} from './load-pattern.js';
import {replayLoad} from './load-replay.js';

// Prints how callers are served with and without the wait for near places, for docs/design/waiting-for-near-places.md: share of
// the worth, share of the jobs in time, mean response in milliseconds. Arguments, each a list with commas: the kind of the hot
// rack or `calm`, distance factors, loads, seeds.

const [hotKinds = 'calm,small', factors = '1.5,3', loads = '0.6,0.75,0.9,1.1', seeds = '1,2,3'] = process.argv.slice(2);
const hotShare = 0.6;

type Row = {
	kindName: string;
	remoteFactor: number;
	load: number;
	seed: number;
};

async function getCell({kindName, remoteFactor, load, seed}: Row, isFactorKnown: boolean): Promise<string> {
	const hot = mixedKinds.some(({name}) => name === kindName) ? {kindName, share: hotShare} : undefined;
	const {earnedShare, servedShare, meanResponseMs} = await replayLoad({load, seed, racks: {remoteFactor, isFactorKnown, hot}});
	return `${earnedShare.toFixed(3)} ${servedShare.toFixed(3)} ${meanResponseMs.toFixed(0)}`;
}

const rows = hotKinds.split(',').flatMap(kindName => factors.split(',').flatMap(factor => loads.split(',').flatMap(load => seeds.split(',').map((seed): Row => ({
	kindName, remoteFactor: Number(factor), load: Number(load), seed: Number(seed),
})))));
for (const row of rows) {
	// eslint-disable-next-line no-await-in-loop -- One replay at a time.
	console.log(`| ${row.kindName} | ${row.remoteFactor} | ${row.load} | ${row.seed} | ${await getCell(row, false)} | ${await getCell(row, true)} |`);
}
