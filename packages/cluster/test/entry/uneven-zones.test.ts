import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {replayZones} from '../support/replay-zones.js';

describe('three availability zones whose demand swings by 0.55 in different phases', () => {
	for (const seed of [1, 2]) {
		// Guards against zones that refuse jobs at their peak while others have free capacity.
		it(`refuse fewer jobs and earn more if those that one refuses go to an idle one, seed ${seed}`, async () => {
			const alone = await replayZones({
				load: 0.55, swing: 0.55, isForwarding: false, seed,
			});
			const together = await replayZones({
				load: 0.55, swing: 0.55, isForwarding: true, seed,
			});
			const figures = JSON.stringify({alone, together});
			assert.equal(alone.forwardedShare, 0);
			assert.ok(together.refusedShare < alone.refusedShare / 2, figures);
			assert.ok(together.earnedShare > alone.earnedShare + 0.02, figures);
		});
	}
});
