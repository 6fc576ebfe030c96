import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {planVoters, type KeeperView} from '../../src/keeper/plan-voters.js';

/**
 * Gets keepers from a text such as `A! a* b? c- d`: `!` leads, `*` leaves, `?` is an unresponsive voter, `-` a learner that is
 * ready and `.` one that is not. The letter is the availability zone.
 */
function getKeepers(text: string): KeeperView[] {
	return text.split(' ').map((word, position) => ({
		record: {
			keeperId: word.replaceAll(/[^\w]/gv, ''), identity: String(position), availabilityZone: word[0]!, role: /[\-.]/v.test(word) ? 'learner' : 'voter',
		},
		isLeader: word.includes('!'),
		isLeaving: word.includes('*'),
		isUnresponsive: word.includes('?'),
		isReady: word.includes('-'),
	}));
}

describe('planVoters', () => {
	const cases: Array<{behavior: string; keepers: string; voters: string | undefined}> = [
		{behavior: 'changes nothing without a reason', keepers: 'a! b c d-', voters: undefined},
		{behavior: 'promotes a learner before a leaving voter is demoted', keepers: 'a! b* c d-', voters: 'a b c d'},
		{behavior: 'demotes a leaving voter once there is another one', keepers: 'a! b* c d', voters: 'a c d'},
		{behavior: 'keeps a leaving voter without a ready learner', keepers: 'a! b* c d.', voters: undefined},
		{behavior: 'promotes no learner that is leaving', keepers: 'a! b* c d-*', voters: undefined},
		{behavior: 'promotes one learner at a time', keepers: 'a! b* c* d- e-', voters: 'a b c d'},
		{behavior: 'demotes one of two leaving voters', keepers: 'a! b* c* d e-', voters: 'a c d'},
		{behavior: 'never demotes the leader', keepers: 'a!* b c d', voters: undefined},
		{behavior: 'promotes a learner that may lead when all voters leave', keepers: 'a!* b* c* d-', voters: 'a b c d'},
		{behavior: 'demotes an unresponsive voter for a ready learner', keepers: 'a! b? c d-', voters: 'a c'},
		{behavior: 'keeps an unresponsive voter without a ready learner', keepers: 'a! b? c d.', voters: undefined},
		{behavior: 'demotes an unresponsive voter before a leaving one', keepers: 'a! b* c? d', voters: 'a b d'},
		{behavior: 'takes back the vote of a successor that was lost', keepers: 'a! b* c d?', voters: 'a b c'},
		{behavior: 'prefers the availability zone of a leaving voter', keepers: 'a! b* c a2- b2-', voters: 'a b c b2'},
		{behavior: 'fills up the voters', keepers: 'a! b d-', voters: 'a b d'},
	];
	for (const {behavior, keepers, voters} of cases) {
		it(`${behavior}: ${keepers} → ${voters ?? 'no change'}`, () => {
			const planned = planVoters(getKeepers(keepers), 3);
			assert.equal(planned?.filter(({role}) => role === 'voter').map(({keeperId}) => keeperId).join(' '), voters);
		});
	}
});
