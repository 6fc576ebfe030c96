import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {getProcessLimits} from '../../src/index.js';

const kib = 1024;

describe('getProcessLimits', () => {
	const rows = [
		{
			title: 'a VM with little memory', resources: {memoryMb: 160, maxFds: 4100}, expected: {
				connections: 1280, peers: 512, servers: 1280, requestKib: 20_480,
			},
		},
		{
			title: 'a VM with few descriptors', resources: {memoryMb: 350, maxFds: 400}, expected: {
				connections: 200, peers: 50, servers: 2800, requestKib: 44_800,
			},
		},
	];
	for (const {title, resources, expected} of rows) {
		it(`derives the bounds of ${title} from what it may use`, () => {
			const {maxConnections, maxPeerConnections, maxBackendServers, requestMemoryBytes} = getProcessLimits(resources);
			assert.deepEqual({
				connections: maxConnections, peers: maxPeerConnections, servers: maxBackendServers, requestKib: requestMemoryBytes / kib,
			}, expected);
		});
	}

	// Guards against addresses that together take more descriptors than the process may open.
	it('leaves descriptors for backend servers, peers and files', () => {
		const {maxConnections, maxStatusConnections, maxPeerConnections} = getProcessLimits({memoryMb: 10_000, maxFds: 1000});
		assert.ok(maxConnections + (2 * maxStatusConnections) + maxPeerConnections <= 700);
	});
});
