import process from 'node:process';
import {getCutZoneLife, replayCutZone} from '../support/replay-cut-zone.js';

const defaultSeedCount = 300;

/** Replays lives of a zone that is cut off, one for each seed, and prints those in which a task ran twice at the same time. */
async function explore(firstSeed: number, seedCount: number): Promise<void> {
	const insideEnds: Record<string, number> = {};
	let foundCount = 0;
	for (let seed = firstSeed; seed < firstSeed + seedCount; seed++) {
		const life = getCutZoneLife(seed);
		const result = await replayCutZone(life); // eslint-disable-line no-await-in-loop -- One replay after the other.
		for (const [end, count] of Object.entries(result.insideEnds)) {
			insideEnds[end] = (insideEnds[end] ?? 0) + count;
		}

		if (result.overlapCount > 0) {
			foundCount++;
			console.log(JSON.stringify({...life, ...result}));
		}
	}

	console.log(`${seedCount} replays, ${foundCount} with two runs of a task at the same time; ends of the runs of inside jobs: ${JSON.stringify(insideEnds)}`);
}

const [firstSeed = '1', seedCount = String(defaultSeedCount)] = process.argv.slice(2);
await explore(Number(firstSeed), Number(seedCount));
