import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {configurationObjectsSchema} from '@camphortack/configuration';
import {VirtualTimers} from '@camphortack/testkit';
import {createZoneDivision} from '../../src/limits/zone-division.js';

function parseWeights(weights: Record<string, number>) {
	const availabilityZones = Object.fromEntries(Object.entries(weights).map(([zone, limitWeight]) => [zone, {limitWeight}]));
	return configurationObjectsSchema.parse({availabilityZones});
}

describe('createZoneDivision', () => {
	for (const capacity of [1, 2, 7, 100]) {
		it(`divides ${capacity} units exactly`, () => {
			const zones = {
				graz: 2,
				linz: 1,
				muc: 4,
				wels: 1,
			};
			const parts = Object.keys(zones).map(zone => {
				const division = createZoneDivision(new VirtualTimers(), zone);
				division.setConfiguration(parseWeights(zones));
				return division.getZoneAmount(capacity, true);
			});
			assert.equal(parts.reduce((sum, part) => sum + part, 0), capacity);
		});
	}

	it('decreases a part immediately and increases it only after all zones have been visible for 10 s', () => {
		const timers = new VirtualTimers();
		const divisions = ['graz', 'muc'].map(zone => createZoneDivision(timers, zone));
		const getAmounts = () => divisions.map(division => division.getZoneAmount(100, true));
		for (const division of divisions) {
			division.setConfiguration(parseWeights({graz: 1, muc: 1}));
			division.setConfiguration(parseWeights({graz: 1, muc: 3}));
			division.setVisibleZones(new Set(['muc']));
		}

		timers.advance(60_000);
		assert.deepEqual(getAmounts(), [25, 50]);
		for (const division of divisions) {
			division.setVisibleZones(new Set(['graz', 'muc']));
		}

		timers.advance(9999);
		assert.deepEqual(getAmounts(), [25, 50]);
		timers.advance(1);
		assert.deepEqual(getAmounts(), [25, 75]);
	});
});
