import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {HandoverSource} from '@camphortack/placement';
import {VirtualTimers} from '@camphortack/testkit';
import {createMemberTable} from '../../src/members/member-table.js';
import type {ClusterMessageOf} from '../../src/messages/cluster-messages.js';
import {createRegistrySources, type RegistrySources} from '../../src/registry/registry-sources.js';

type TestSources = {
	sources: RegistrySources;
	timers: VirtualTimers;
	requestedIds: string[];
	/** Handles a heartbeat of the placer, by default of its first incarnation while it places, with the digest of the own registry. */
	hearPlacer: (heartbeat?: {incarnation?: string; term?: number; placerId?: string; digest?: string}) => void;
	/** Handles a heartbeat of another daemon that hears the placer. */
	hearWitness: () => void;
	setOwnDigest: (digest: string) => void;
};

const heartbeat: ClusterMessageOf<'cluster.heartbeat'> = {
	kind: 'cluster.heartbeat',
	availabilityZone: 'a',
	isKeeper: true,
	incarnation: 'one',
	upMs: 5000,
	shard: 'a',
	term: 3,
	placerId: 'placer',
	hearsPlacer: true,
	isLeaving: false,
	configurationNumber: 1,
};

/** The view of the daemons that follow the own one, the next placer. */
const successorView = {term: 4, placerId: 'own'};

/** Creates the sources of a daemon that hears a placer with another registry. */
function createTestSources(): TestSources {
	const timers = new VirtualTimers();
	const members = createMemberTable('own', [], timers);
	const requestedIds: string[] = [];
	let ownDigest = 'own digest';
	const hearPlacer: TestSources['hearPlacer'] = ({digest = ownDigest, ...rest} = {}) => {
		members.addHeartbeat('placer', {...heartbeat, ...rest});
		sources.handleHeartbeat('placer', digest);
	};

	const sources = createRegistrySources({
		ownId: 'own',
		ownIncarnation: 'mine',
		members,
		timers,
		getView: () => successorView,
		getDigest: () => ownDigest,
		isInShard: memberId => memberId !== 'remote-entry',
		sendRequest(memberId) {
			requestedIds.push(memberId);
		},
	});
	members.addHeartbeat('placer', heartbeat);
	return {
		sources,
		timers,
		requestedIds,
		hearPlacer,
		hearWitness() {
			members.addHeartbeat('witness', {...heartbeat, incarnation: 'witness'});
			sources.handleHeartbeat('witness', undefined);
		},
		setOwnDigest(digest) {
			ownDigest = digest;
		},
	};
}

const source: HandoverSource = {entryId: 'entry', registryDigest: 'own digest', placers: [{placerId: 'placer', incarnation: 'one'}]};

/** Lets the placer send its registry after it has ceased to place. */
function sendFinalRegistry({sources, hearPlacer}: TestSources): void {
	hearPlacer({...successorView, digest: 'any'});
	sources.addSource('placer', 'any');
}

describe('createRegistrySources', () => {
	const cases: Array<{title: string; rest?: Partial<HandoverSource>; prepare?: (test: TestSources) => void; isCovered: boolean}> = [
		{title: 'a placer that has not sent its registry', isCovered: false},
		{title: 'a placer that has sent its registry after it ceased to place', prepare: sendFinalRegistry, isCovered: true},
		{
			title: 'a placer that has ceased to place, with an equal registry',
			prepare({hearPlacer}) {
				hearPlacer({...successorView});
			},
			isCovered: true,
		},
		{
			title: 'a placer that has ceased to place, with a registry that was received before',
			prepare({sources, hearPlacer}) {
				sources.addSource('placer', 'received');
				hearPlacer({...successorView, digest: 'received'});
			},
			isCovered: true,
		},
		// Guards against a registry that counts as complete although its sender has learned of more backend servers since.
		{
			title: 'a placer that has sent its registry and still places',
			prepare({sources}) {
				sources.addSource('placer', 'any');
			},
			isCovered: false,
		},
		{
			title: 'a placer that has ceased to place with another registry than the one that it has sent',
			prepare({sources, hearPlacer}) {
				sources.addSource('placer', 'any');
				hearPlacer({...successorView, digest: 'later'});
			},
			isCovered: false,
		},
		{
			title: 'a placer that has sent its registry before it began to place',
			prepare({sources, hearPlacer}) {
				hearPlacer({term: 2, placerId: '', digest: 'any'});
				sources.addSource('placer', 'any');
			},
			isCovered: false,
		},
		{
			title: 'a placer that has restarted, and has sent its new registry',
			prepare(test) {
				sendFinalRegistry(test);
				test.hearPlacer({incarnation: 'two', ...successorView, digest: 'any'});
				test.sources.addSource('placer', 'any');
			},
			isCovered: false,
		},
		// Guards against jobs that end as unknown because their placer is back before their runs are searched for.
		{
			title: 'a placer that has restarted 200 ms after its registry was equal, and has not sent its new one',
			prepare({hearPlacer, timers}) {
				hearPlacer();
				timers.advance(200);
				hearPlacer({incarnation: 'two', ...successorView, digest: 'later'});
			},
			isCovered: true,
		},
		{
			title: 'a placer that has restarted after its registry differed for 260 ms',
			prepare({hearPlacer, timers}) {
				hearPlacer();
				timers.advance(260);
				hearPlacer({digest: 'later'});
				hearPlacer({incarnation: 'two', ...successorView, digest: 'later'});
			},
			isCovered: false,
		},
		{
			title: 'the second incarnation of a placer, which has sent its registry',
			rest: {placers: [{placerId: 'placer', incarnation: 'two'}]},
			prepare({sources, hearPlacer}) {
				hearPlacer({incarnation: 'two', ...successorView, digest: 'any'});
				sources.addSource('placer', 'any');
			},
			isCovered: true,
		},
		{
			title: 'a placer that has been silent for 240 ms since its registry was equal',
			prepare({hearPlacer, timers}) {
				hearPlacer();
				timers.advance(240);
			},
			isCovered: false,
		},
		{
			title: 'a placer that has been silent for 250 ms since its registry was equal',
			prepare({hearPlacer, timers}) {
				hearPlacer();
				timers.advance(250);
			},
			isCovered: true,
		},
		{
			title: 'a placer that has been silent for 1.9 s since it sent its registry',
			prepare({sources, timers}) {
				sources.addSource('placer', 'any');
				timers.advance(1900);
			},
			isCovered: true,
		},
		{
			title: 'a placer that has been silent for 2 s since it sent its registry',
			prepare({sources, timers}) {
				sources.addSource('placer', 'any');
				timers.advance(2000);
			},
			isCovered: false,
		},
		{
			title: 'a silent placer whose registry differed for 260 ms before',
			prepare({sources, timers, hearPlacer}) {
				sources.addSource('placer', 'any');
				timers.advance(260);
				hearPlacer({digest: 'later'});
				timers.advance(500);
			},
			isCovered: false,
		},
		{
			title: 'a silent placer that the entry daemon heard 200 ms later than this daemon',
			rest: {placers: [{placerId: 'placer', incarnation: 'one', silenceMs: 300}], receivedAtMs: 500},
			prepare({hearPlacer, timers}) {
				hearPlacer();
				timers.advance(500);
			},
			isCovered: true,
		},
		{
			title: 'a silent placer that the entry daemon heard 300 ms later than this daemon',
			rest: {placers: [{placerId: 'placer', incarnation: 'one', silenceMs: 200}], receivedAtMs: 500},
			prepare({hearPlacer, timers}) {
				hearPlacer();
				timers.advance(500);
			},
			isCovered: false,
		},
		{
			title: 'a silent placer that another daemon hears 700 ms later, since it does not notice a silence sooner',
			prepare({hearPlacer, hearWitness, timers}) {
				hearPlacer();
				timers.advance(700);
				hearWitness();
			},
			isCovered: true,
		},
		{
			title: 'a silent placer that another daemon hears 710 ms later',
			prepare({hearPlacer, hearWitness, timers}) {
				hearPlacer();
				timers.advance(710);
				hearWitness();
			},
			isCovered: false,
		},
		{
			title: 'a placer whose incarnation the entry daemon does not know',
			rest: {placers: [{placerId: 'placer', incarnation: ''}]},
			prepare: sendFinalRegistry,
			isCovered: false,
		},
		{title: 'no placer', rest: {placers: []}, isCovered: false},
		{title: 'this daemon', rest: {placers: [{placerId: 'own', incarnation: 'mine'}]}, isCovered: true},
		{title: 'this daemon before its restart', rest: {placers: [{placerId: 'own', incarnation: 'former'}]}, isCovered: false},
		{
			title: 'an entry daemon with another registry', rest: {registryDigest: 'other'}, prepare: sendFinalRegistry, isCovered: false,
		},
		{
			title: 'an entry daemon that has sent its other registry',
			rest: {registryDigest: 'other'},
			prepare(test) {
				sendFinalRegistry(test);
				test.sources.addSource('entry', 'other');
			},
			isCovered: true,
		},
		{
			title: 'an entry daemon of another shard', rest: {registryDigest: 'other', entryId: 'remote-entry'}, prepare: sendFinalRegistry, isCovered: true,
		},
	];
	for (const {title, rest, prepare, isCovered} of cases) {
		it(`${title} → ${isCovered ? 'covered' : 'not covered'}`, () => {
			const test = createTestSources();
			prepare?.(test);
			assert.equal(test.sources.isCoveredBy({...source, ...rest}), isCovered);
		});
	}

	it('requests the registry of a placer that differs, twice a second', () => {
		const {hearPlacer, timers, requestedIds, setOwnDigest} = createTestSources();
		hearPlacer();
		for (let passedMs = 100; passedMs <= 1200; passedMs += 100) {
			timers.advance(100);
			hearPlacer({digest: 'later'});
		}

		assert.deepEqual(requestedIds, ['placer', 'placer']);
		setOwnDigest('later');
		timers.advance(1000);
		hearPlacer();
		assert.equal(requestedIds.length, 2);
	});

	it('requests the missing registries, and none again within 100 ms', () => {
		const test = createTestSources();
		const {sources, timers, requestedIds} = test;
		const missing = {...source, registryDigest: 'other', placers: [...source.placers, {placerId: 'own', incarnation: 'former'}]};
		sources.requestMissing(missing);
		timers.advance(50);
		sources.requestMissing(missing);
		assert.deepEqual(requestedIds, ['entry', 'placer']);
		timers.advance(50);
		sources.requestMissing(missing);
		assert.deepEqual(requestedIds, ['entry', 'placer', 'entry', 'placer']);
		sendFinalRegistry(test);
		sources.addSource('entry', 'other');
		timers.advance(200);
		sources.requestMissing(missing);
		assert.equal(requestedIds.length, 4);
	});
});
