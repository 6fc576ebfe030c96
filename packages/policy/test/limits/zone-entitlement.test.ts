import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Member} from '@camphortack/core';
import {VirtualTimers} from '@camphortack/testkit';
import {createZoneEntitlement} from '../../src/limits/zone-entitlement.js';

function createMembers(ids: string): Member[] {
	return [...ids].map(id => ({
		id,
		incarnation: '1',
		availabilityZone: 'muc',
		roles: ['entry'],
		host: '10.0.0.1',
		peerPort: 7000,
	}));
}

function createFixture() {
	const timers = new VirtualTimers();
	const zoneEntitlement = createZoneEntitlement({timers, minMembers: 1, maxUseLifetimeMs: 1000});
	const getAmount = () => zoneEntitlement.getEntitlement(30, true, 1000);
	return {timers, zoneEntitlement, getAmount};
}

describe('createZoneEntitlement', () => {
	for (const [all, side, atOnce, after40Seconds, after2Minutes] of [
		['abc', 'abc', 30, 30, 30],
		['abc', 'ab', 20, 20, 30],
		['abc', 'a', 10, 0, 0],
		['ab', 'a', 15, 15, 15],
		['abcd', 'ab', 15, 15, 15],
		['abcde', 'abc', 18, 18, 30],
		['abcde', 'ab', 12, 0, 0],
	] as const) {
		it(`entitles ${side} of ${all} to ${atOnce} of 30 at once and ${after2Minutes} after 2 minutes`, () => {
			const {timers, zoneEntitlement, getAmount} = createFixture();
			zoneEntitlement.setMembers(createMembers(all));
			assert.equal(getAmount(), 30);
			zoneEntitlement.setMembers(createMembers(side));
			const amounts = [0, 40_000, 80_000].map(waitMs => {
				timers.advance(waitMs);
				return getAmount();
			});
			assert.deepEqual(amounts, [atOnce, after40Seconds, after2Minutes]);
		});
	}

	it('never entitles two sides to more than the whole, at any time', () => {
		for (const [all, left] of [['ab', 'a'], ['abc', 'a'], ['abcd', 'ab'], ['abcd', 'a'], ['abcdefg', 'abc']] as const) {
			const sides = [left, [...all].filter(id => !left.includes(id)).join('')].map(side => {
				const fixture = createFixture();
				fixture.zoneEntitlement.setMembers(createMembers(all));
				fixture.zoneEntitlement.setMembers(createMembers(side));
				return fixture;
			});
			for (let second = 0; second < 200; second++) {
				const amounts = sides.map(({timers, getAmount}) => {
					timers.advance(1000);
					return getAmount();
				});
				assert.ok(amounts[0]! + amounts[1]! <= 30, `${left} of ${all}: ${amounts.join(' and ')}`);
			}
		}
	});

	it('stops counting a daemon that announced its stop, even while it is still listed', () => {
		const {zoneEntitlement, getAmount} = createFixture();
		zoneEntitlement.setMembers(createMembers('abc'));
		zoneEntitlement.removeMember('c', '1');
		zoneEntitlement.setMembers(createMembers('abc'));
		zoneEntitlement.setMembers(createMembers('ab'));
		assert.equal(getAmount(), 30);
	});

	it('reports that a lost daemon has returned', () => {
		const {zoneEntitlement} = createFixture();
		const returns = ['abc', 'ab', 'abc', 'abcd'].map(ids => zoneEntitlement.setMembers(createMembers(ids)));
		assert.deepEqual(returns, [false, false, true, false]);
	});
});
