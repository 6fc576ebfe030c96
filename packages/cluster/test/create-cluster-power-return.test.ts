import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {replayPowerReturn} from './support/power-return-schedule.js';

const divided = {
	serverCount: 105, hasSecondKeepers: true, lateLinkShare: 0.5, brokenLinkShare: 0.7,
};

/** One keeper and two entry daemons in each of five availability zones. */
const fiveZones = {
	serverCount: 105, hasSecondKeepers: false, availabilityZones: ['a', 'b', 'c', 'd', 'e'], lateLinkShare: 0.9, brokenLinkShare: 0.9,
};
const lostDisks = {...fiveZones, lostDiskCount: 2, hasResubmissions: true};

describe('createCluster, when power returns and links between the daemons open late', () => {
	// Guards against a registry that was complete when it arrived, and not when the earlier placer started a task.
	it('has no two runs of a task at the same time, with two keepers in each zone', async () => {
		for (const seed of [13, 21]) {
			// eslint-disable-next-line no-await-in-loop -- The seeds are replayed one after the other.
			const {overlaps, lateStarts} = await replayPowerReturn({...divided, seed});
			assert.deepEqual(overlaps, [], `seed ${seed}`);
			assert.deepEqual(lateStarts, [], `seed ${seed}`);
		}
	});

	it('has no two runs of a task at the same time, if no daemon hears a placer that uses a new backend server', async () => {
		const {overlaps} = await replayPowerReturn({
			...divided, lateLinkShare: 0.7, brokenLinkShare: 0.9, seed: 213,
		});
		assert.deepEqual(overlaps, []);
	});

	// Guards against a successor that knows the backend servers of its zone only as they were before the only keeper learned of new ones.
	it('has no two runs of a task at the same time in five zones with one keeper each', async () => {
		const {overlaps} = await replayPowerReturn({...fiveZones, seed: 2005});
		assert.deepEqual(overlaps, []);
	});

	// Guards against second runs where two of five keepers have lost their disks, and callers submit their jobs again through other entry daemons.
	it('has no two runs of a task at the same time in five zones, if two disks are lost with the power', async () => {
		const {overlaps} = await replayPowerReturn({...lostDisks, seed: 3067});
		assert.deepEqual(overlaps, []);
	});

	// Guards against an earlier placer that starts a task elsewhere, after a slow run of it, although its successor has adopted this run.
	it('starts no task by an earlier placer after its successor has concluded, if both repeat a slow run', async () => {
		const {overlaps, lateStarts} = await replayPowerReturn({...fiveZones, seed: 2188});
		assert.deepEqual(lateStarts, []);
		assert.deepEqual(overlaps, []);
	});

	// Guards against a replay whose resubmissions reach nobody, or the entry daemon that the job was submitted to before.
	it('gives each caller an answer that submits its job again through another entry daemon, and runs no task of it twice at the same time', async () => {
		const {test, overlaps, lateStarts} = await replayPowerReturn({...lostDisks, seed: 3000});
		const jobIds = new Set(test.submissions.map(({jobId}) => jobId).filter(jobId => jobId.startsWith('before')));
		assert.equal(jobIds.size, 10);
		for (const jobId of jobIds) {
			const daemonIds = test.submissions.filter(submission => submission.jobId === jobId).map(({daemonId}) => daemonId);
			assert.equal(new Set(daemonIds).size, 2, `${jobId} was submitted to ${daemonIds.join(' ')}`);
			assert.deepEqual(test.results.filter(result => result.jobId === jobId).map(({daemonId}) => daemonId), [daemonIds[1]]);
		}

		assert.deepEqual(overlaps, []);
		assert.deepEqual(lateStarts, []);
	});
});
