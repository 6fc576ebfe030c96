import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {needsHeartbeats, type HeartbeatPeer} from '../../src/members/needs-heartbeats.js';

const entry: HeartbeatPeer = {availabilityZone: 'a', isKeeper: false, isPlacing: false};
const keeper: HeartbeatPeer = {...entry, isKeeper: true};
const placer: HeartbeatPeer = {...keeper, isPlacing: true};

function getRemote(peer: HeartbeatPeer): HeartbeatPeer {
	return {...peer, availabilityZone: 'b'};
}

describe('needsHeartbeats', () => {
	const cases: Array<{name: string; own: HeartbeatPeer; other: HeartbeatPeer; isDivided?: boolean; hearsLocalKeeper?: boolean; expected: boolean}> = [
		{
			name: 'entry daemons of two zones, not divided', own: entry, other: getRemote(entry), isDivided: false, expected: true,
		},
		{
			name: 'entry daemons of two zones', own: entry, other: getRemote(entry), expected: false,
		},
		{
			name: 'entry daemons of one zone', own: entry, other: entry, expected: true,
		},
		{
			name: 'an entry daemon and a keeper of another zone', own: entry, other: getRemote(keeper), expected: false,
		},
		{
			name: 'an entry daemon without a keeper in its zone and a keeper of another zone', own: entry, other: getRemote(keeper), hearsLocalKeeper: false, expected: true,
		},
		{
			name: 'an entry daemon without a keeper in its zone and an entry daemon of another zone', own: entry, other: getRemote(entry), hearsLocalKeeper: false, expected: false,
		},
		{
			name: 'keepers of two zones', own: keeper, other: getRemote(keeper), expected: true,
		},
		{
			name: 'a placer and an entry daemon of another zone', own: placer, other: getRemote(entry), expected: true,
		},
		{
			name: 'an entry daemon and a placer of another zone', own: entry, other: getRemote(placer), expected: true,
		},
	];
	for (const {name, own, other, isDivided = true, hearsLocalKeeper = true, expected} of cases) {
		it(`${name} → ${expected}`, () => {
			assert.equal(needsHeartbeats(own, other, {isDivided, hearsLocalKeeper}), expected);
		});
	}
});
