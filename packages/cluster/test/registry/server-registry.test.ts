import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualTimers} from '@camphortack/testkit';
import type {BackendServerDescription} from '@camphortack/placement';
import {createServerRegistry} from '../../src/registry/server-registry.js';

const description: BackendServerDescription = {
	id: 'server', bornMs: 1, sequence: 1, service: 'quotes', host: 'server', port: 80, availabilityZone: 'north', state: 'draining',
	slotCount: 8, cpuMillicores: 64_000, memoryMb: 1000, gpuCount: 0, labels: [],
};

describe('createServerRegistry', () => {
	const rows = [
		{title: 'a cold time', times: {coldMs: 1500}, expected: {coldMs: 1100}},
		{title: 'a notice', times: {noticeMs: 2000}, expected: {noticeMs: 1600}},
		{title: 'a notice that has passed', times: {noticeMs: 300}, expected: {noticeMs: 0}},
		{title: 'neither', times: {}, expected: {}},
	];
	for (const {title, times, expected} of rows) {
		// Guards against a remaining time that seems longer to each daemon that receives the description from another one.
		it(`passes on ${title} with its age subtracted`, () => {
			const timers = new VirtualTimers();
			const registry = createServerRegistry(timers);
			registry.addDescription({...description, ...times});
			timers.advance(400);
			assert.deepEqual(registry.getDescriptions(), [{...description, ...expected}]);
			assert.deepEqual(registry.findDescription('server'), {...description, ...expected});
		});
	}

	const changes = [
		{
			title: 'a notice begins', before: {}, after: {noticeMs: 2000}, expected: 'changed',
		},
		// Guards against a pass over all registries at each heartbeat of a draining backend server.
		{
			title: 'a notice goes on', before: {noticeMs: 2000}, after: {noticeMs: 1500}, expected: 'same',
		},
		{
			title: 'a notice is withdrawn', before: {noticeMs: 2000}, after: {state: 'ready' as const}, expected: 'changed',
		},
	];
	for (const {title, before, after, expected} of changes) {
		it(`${title} → ${expected}`, () => {
			const registry = createServerRegistry(new VirtualTimers());
			registry.addDescription({...description, ...before});
			assert.equal(registry.addDescription({...description, ...after, sequence: 2}), expected);
		});
	}
});
