import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findClaimReason, type ElectionParticipant} from '../../src/election/find-claim-reason.js';
import {getClaimableZones} from '../../src/election/get-claimable-zones.js';

const getParticipant = (id: string, rest: Partial<ElectionParticipant> = {}): ElectionParticipant => ({
	id, isKeeper: false, isLeaving: false, isWarmedUp: true, isSilent: false, hearsPlacer: false, ...rest,
});

describe('findClaimReason', () => {
	const rows: Array<{title: string; own: ElectionParticipant; others: ElectionParticipant[]; placerId: string; isSettled?: boolean; expected: string | undefined}> = [
		{
			title: 'first start, smallest id', own: getParticipant('a'), others: [getParticipant('b')], placerId: '', expected: 'no-placer',
		},
		{
			title: 'first start, not the smallest id', own: getParticipant('b'), others: [getParticipant('a')], placerId: '', expected: undefined,
		},
		{
			title: 'first start, a keeper is alive', own: getParticipant('a'), others: [getParticipant('b', {isKeeper: true})], placerId: '', expected: undefined,
		},
		{
			title: 'first start, a keeper is not warmed up',
			own: getParticipant('a'),
			others: [getParticipant('b', {isKeeper: true, isWarmedUp: false})],
			placerId: '',
			expected: 'no-placer',
		},
		{
			title: 'a keeper is silent',
			own: getParticipant('a'),
			others: [getParticipant('b', {isKeeper: true, isSilent: true})],
			placerId: 'p',
			expected: 'placer-silent',
		},
		{
			title: 'not warmed up itself', own: getParticipant('a', {isWarmedUp: false}), others: [getParticipant('b')], placerId: '', expected: undefined,
		},
		{
			title: 'the placer is heard', own: getParticipant('a', {hearsPlacer: true}), others: [getParticipant('p')], placerId: 'p', expected: undefined,
		},
		{
			title: 'nobody hears the placer', own: getParticipant('a'), others: [getParticipant('b'), getParticipant('c')], placerId: 'p', expected: 'placer-silent',
		},
		{
			title: 'cut off alone: the others hear the placer', own: getParticipant('a'),
			others: [getParticipant('b', {hearsPlacer: true}), getParticipant('c', {hearsPlacer: true})], placerId: 'p', expected: undefined,
		},
		{
			title: 'the placer announces its leaving',
			own: getParticipant('a', {hearsPlacer: true}),
			others: [getParticipant('p', {isLeaving: true})],
			placerId: 'p',
			expected: 'placer-leaving',
		},
		{
			title: 'it is the placer itself', own: getParticipant('p'), others: [getParticipant('a')], placerId: 'p', expected: undefined,
		},
		{
			title: 'a settled keeper, an entry daemon places',
			own: getParticipant('k', {isKeeper: true, hearsPlacer: true}),
			others: [getParticipant('a')],
			placerId: 'a',
			isSettled: true,
			expected: 'keeper-preferred',
		},
		{
			title: 'a keeper that has just started, an entry daemon places',
			own: getParticipant('k', {isKeeper: true, hearsPlacer: true}),
			others: [getParticipant('a')],
			placerId: 'a',
			expected: undefined,
		},
		{
			title: 'the second of two settled keepers, an entry daemon places',
			own: getParticipant('l', {isKeeper: true, hearsPlacer: true}),
			others: [getParticipant('a'), getParticipant('k', {isKeeper: true})],
			placerId: 'a',
			isSettled: true,
			expected: undefined,
		},
		{
			title: 'a settled keeper, another keeper places',
			own: getParticipant('k', {isKeeper: true, hearsPlacer: true}),
			others: [getParticipant('l', {isKeeper: true})],
			placerId: 'l',
			isSettled: true,
			expected: undefined,
		},
		{
			title: 'a settled entry daemon, another one places',
			own: getParticipant('a', {hearsPlacer: true}),
			others: [getParticipant('b')],
			placerId: 'b',
			isSettled: true,
			expected: undefined,
		},
	];
	const shareRows: Array<{title: string; own: Partial<ElectionParticipant>; other: Partial<ElectionParticipant>; claims: boolean}> = [
		{
			title: 'larger share, larger id', own: {id: 'b', cpuMillicores: 810}, other: {id: 'a', cpuMillicores: 243}, claims: true,
		},
		{
			title: 'smaller share, smaller id', own: {id: 'a', cpuMillicores: 243}, other: {id: 'b', cpuMillicores: 810}, claims: false,
		},
		{
			title: 'equal shares, larger id', own: {id: 'b', cpuMillicores: 324}, other: {id: 'a', cpuMillicores: 324}, claims: false,
		},
		{
			title: 'equal shares, smaller id', own: {id: 'a', cpuMillicores: 324}, other: {id: 'b', cpuMillicores: 324}, claims: true,
		},
		{
			title: 'share larger by a factor in one class, larger id', own: {id: 'b', cpuMillicores: 340}, other: {id: 'a', cpuMillicores: 300}, claims: false,
		},
		{
			title: 'both shares unknown, smaller id', own: {id: 'a'}, other: {id: 'b'}, claims: true,
		},
		{
			title: 'both shares unknown, larger id', own: {id: 'b'}, other: {id: 'a'}, claims: false,
		},
		{
			title: 'known share against an unknown one, larger id', own: {id: 'b', cpuMillicores: 243}, other: {id: 'a'}, claims: true,
		},
		{
			title: 'larger share against a keeper', own: {id: 'a', cpuMillicores: 4000}, other: {id: 'b', isKeeper: true, cpuMillicores: 1080}, claims: false,
		},
		{
			title: 'smaller share, the larger one leaves', own: {id: 'a', cpuMillicores: 243}, other: {id: 'b', cpuMillicores: 810, isLeaving: true}, claims: true,
		},
		{
			title: 'smaller share, the larger one has just started', own: {id: 'a', cpuMillicores: 243}, other: {id: 'b', cpuMillicores: 810, isWarmedUp: false}, claims: true,
		},
	];
	for (const {title, own, other, claims} of shareRows) {
		it(`${title} → ${claims ? 'claims' : 'no claim'}`, () => {
			const reason = findClaimReason({
				own: getParticipant('', own), others: [getParticipant('', other)], placerId: 'p', isSettled: false,
			});
			assert.equal(reason, claims ? 'placer-silent' : undefined);
		});
	}

	// Guards against an order in which each candidate comes after another one, so that nobody takes over.
	it('exactly one of several candidates claims, whichever of their shares are known', () => {
		const shares = [810, undefined, 243, 0, 324, 300];
		const candidates = shares.map((cpuMillicores, position) => getParticipant(`entry-${position}`, {cpuMillicores}));
		const claiming = candidates.filter(own => findClaimReason({
			own, others: candidates.filter(other => other !== own), placerId: 'p', isSettled: false,
		}) !== undefined);
		assert.deepEqual(claiming.map(({id}) => id), ['entry-0']);
	});

	for (const {title, own, others, placerId, isSettled = false, expected} of rows) {
		it(`${title} → ${expected ?? 'no claim'}`, () => {
			assert.equal(findClaimReason({
				own, others, placerId, isSettled,
			}), expected);
		});
	}
});

describe('getClaimableZones', () => {
	const getVoters = (text: string) => text.split(' ').map(word => ({availabilityZone: word[0]!, isAlive: word[1] === '+'}));
	const rows = [
		{title: 'all alive', voters: 'a+ a+ b+ c+', expected: ['a', 'b', 'c']},
		{title: 'one zone lost, a majority of all daemons alive', voters: 'a+ a+ b+ c-', expected: ['a', 'b', 'c']},
		{title: 'cut off with its zone', voters: 'a+ a+ b- b- c- c-', expected: ['a']},
		{title: 'cut off alone', voters: 'a+ a- a- b- b-', expected: []},
		{title: 'two zones, no majority alive in either', voters: 'a+ a- b- b-', expected: []},
	];
	for (const {title, voters, expected} of rows) {
		it(`${title}: ${voters} → ${expected.join(' ') || 'none'}`, () => {
			assert.deepEqual([...getClaimableZones(getVoters(voters))], expected);
		});
	}
});
