import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	deployments, runRow, type PolicyName, type Row, type Scenario,
} from '../../src/index.js';

const maxWastedMessagesPerTask = {'schellack-glanz': 0.05, restaurierwerk: 0.02};

function run(deployment: typeof deployments[number], policy: PolicyName, load: number, scenario: Scenario = 'steady'): Row {
	return runRow({
		deployment, policy, load, scenario, seed: 1, durationMs: 10_000,
	});
}

describe('a short benchmark run', () => {
	for (const deployment of deployments) {
		it(`meets the targets at load 0.8 for ${deployment.name}`, () => {
			const row = run(deployment, 'camphortack', 0.8);
			assert.ok(row.responseRatioP50 <= 1.05, `P50 ${row.responseRatioP50}`);
			assert.ok(row.responseRatioP99 <= 1.1 * run(deployment, 'central-queue', 0.8).responseRatioP99, `P99 ${row.responseRatioP99}`);
			assert.ok(row.wastedMessagesPerTask <= maxWastedMessagesPerTask[deployment.name], `wasted ${row.wastedMessagesPerTask}`);
			for (const policy of ['random', 'two-choices', 'batch-sampling'] as const) {
				const baseline = run(deployment, policy, 0.8);
				assert.ok(row.responseRatioP99 < baseline.responseRatioP99, `${policy} P99 ${baseline.responseRatioP99}`);
			}
		});

		it(`sustains its goodput at twice the capacity for ${deployment.name}`, () => {
			const row = run(deployment, 'camphortack', 2);
			assert.ok(row.goodputRatio >= 0.95, `goodput ${row.goodputRatio}`);
		});

		it(`fails at most 0.5% of the tasks while one backend server fails all of its own for ${deployment.name}`, () => {
			const row = run(deployment, 'camphortack', 0.8, 'failing-backend-server');
			assert.ok(row.failedTaskRatio <= 0.005, `failed ${row.failedTaskRatio}`);
		});
	}

	it('returns the same row for the same seed', () => {
		assert.deepEqual(run(deployments[0]!, 'camphortack', 0.6), run(deployments[0]!, 'camphortack', 0.6));
	});
});
