import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {checkConfigurationObjects} from '../check/check-configuration-objects.js';
import {readConfigurationFiles} from '../files/read-configuration-files.js';
import {createSampleFiles} from './create-sample-files.js';

const objectCounts = [100, 1000, 10_000, 50_000];
const warmUpCount = 5;

for (let round = 0; round < warmUpCount; round++) {
	measure(1000);
}

process.stdout.write(`${JSON.stringify(objectCounts.map(count => measure(count)), undefined, 2)}\n`);

/** Measures reading and checking a valid configuration, and checking one in which the pool reference of every service is dangling. */
function measure(objectCount: number) {
	const files = createSampleFiles(objectCount);
	const danglingFiles = files.map(file => ({path: file.path, text: file.text.replaceAll('pool = pool-', 'pool = pol-')}));
	const startMs = performance.now();
	const {objects, places, findings} = readConfigurationFiles(files);
	const readMs = performance.now();
	const checkFindings = checkConfigurationObjects(objects, places);
	const checkedMs = performance.now();
	const dangling = readConfigurationFiles(danglingFiles);
	const danglingReadMs = performance.now();
	const danglingFindings = checkConfigurationObjects(dangling.objects, dangling.places);
	return {
		objectCount,
		readMs: round(readMs - startMs),
		checkMs: round(checkedMs - readMs),
		findingCount: findings.length + checkFindings.length,
		danglingCheckMs: round(performance.now() - danglingReadMs),
		danglingFindingCount: danglingFindings.length,
	};
}

function round(value: number): number {
	return Math.round(value * 10) / 10;
}
