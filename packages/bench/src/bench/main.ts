import {parseArgs} from 'node:util';
import {deployments} from './deployments.js';
import {
	policies, runRow, scenarios, type PolicyName, type Row, type Scenario,
} from './run-row.js';

const loads = [0.3, 0.6, 0.8, 0.95, 2];
const scenarioLoad = 0.8;
const longDurationMs = 60_000;
const quickDurationMs = 10_000;

const {values} = parseArgs({
	options: {
		json: {type: 'boolean', default: false},
		quick: {type: 'boolean', default: false},
		seed: {type: 'string', default: '1'},
		policy: {type: 'string'},
		load: {type: 'string'},
		scenario: {type: 'string'},
	},
});

const policyNames = Object.keys(policies).filter(name => values.policy === undefined || name === values.policy);
const durationMs = values.quick ? quickDurationMs : longDurationMs;
const combinations: Array<{scenario: Scenario; load: number}> = [
	...loads.map(load => ({scenario: 'steady' as const, load})),
	...scenarios.filter(scenario => scenario !== 'steady').map(scenario => ({scenario, load: scenarioLoad})),
];

for (const deployment of deployments) {
	for (const {scenario, load} of combinations) {
		const isSelected = (values.load === undefined || Number(values.load) === load)
			&& (values.scenario === undefined || values.scenario === scenario);
		for (const policy of isSelected ? policyNames : []) {
			print(runRow({
				// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The names are the keys of `policies`.
				policy: policy as PolicyName,
				deployment,
				load,
				scenario,
				seed: Number(values.seed),
				durationMs,
			}));
		}
	}
}

/** Omits uninformative fields: the scenario of a steady load, and the failure ratio where no failures are injected. */
function getJsonRow({scenario, failedTaskRatio, ...row}: Row): Partial<Row> {
	if (scenario === 'steady') {
		return row;
	}

	return scenario === 'failing-backend-server' ? {...row, scenario, failedTaskRatio} : {...row, scenario};
}

function print(row: Row): void {
	if (values.json) {
		console.log(JSON.stringify(getJsonRow(row)));
		return;
	}

	const rowLabel = `${row.deployment.padEnd(16)} ${row.scenario.padEnd(22)} load ${String(row.load).padEnd(5)}${row.policy.padEnd(15)}`;
	const ratios = `P50 ${row.responseRatioP50.toFixed(3)}  P99 ${row.responseRatioP99.toFixed(3)}`;
	const costs = `wasted/task ${row.wastedMessagesPerTask.toFixed(4)}  goodput ${row.goodputRatio.toFixed(3)}`;
	console.log(`${rowLabel} ${ratios}  ${costs}  failed ${row.failedTaskRatio.toFixed(4)}`);
}
