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

const [wanted] = process.argv.slice(2);
for (const measure of measurements) {
	if (wanted === undefined || measure.name.toLowerCase().includes(wanted)) {
		// eslint-disable-next-line no-await-in-loop -- One part is measured at a time.
		const slopes = [await measure()].flat();
		for (const slope of slopes) {
			process.stdout.write(`${JSON.stringify({...slope, fit: fitLine(slope.points)})}\n`);
		}
	}
}
