import process from 'node:process';
import {measureConsensusSlopes} from './consensus-slope.js';
import {measureDispatchSlopes} from './dispatch-slope.js';
import {fitLine} from './fit-line.js';
import {measureMembership} from './membership-slope.js';
import {
	measureClaimDelaySlope, measureClaimRateSlope, measureJobsPerSyncSlope, measureRegisterSlope, measureRegisterSnapshotSlope, measureTicketDelaySlope,
} from './register-slope.js';
import type {Slope} from './slope.js';
import {measureRecordsPerSyncSlope, measureStorageSlope, measureSyncSlope} from './storage-slope.js';

const measurements: Array<() => Promise<Slope | Slope[]>> = [
	measureDispatchSlopes,
	measureRegisterSlope,
	measureRegisterSnapshotSlope,
	measureClaimDelaySlope,
	measureJobsPerSyncSlope,
	measureClaimRateSlope,
	measureTicketDelaySlope,
	measureStorageSlope,
	measureRecordsPerSyncSlope,
	measureSyncSlope,
	measureMembership,
	measureConsensusSlopes,
];

// The filter is matched against the names of the functions above.
const [filter] = process.argv.slice(2);
for (const measure of measurements) {
	if (filter === undefined || measure.name.toLowerCase().includes(filter)) {
		// eslint-disable-next-line no-await-in-loop -- Measurements run sequentially.
		const slopes = [await measure()].flat();
		for (const slope of slopes) {
			process.stdout.write(`${JSON.stringify({...slope, fit: fitLine(slope.points)})}\n`);
		}
	}
}
