import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSeededRandomSource} from '@camphortack/core';
import {VirtualTimers} from '@camphortack/testkit';
import {createServerSpeeds, type ServerSpeeds, type SpeedSubject} from '../../src/speed/server-speeds.js';

const serverCount = 60;
const serversPerRack = 10;
const runsPerSecond = 7;
const longTaskShare = 0.03;
const longTaskFactor = 7;
/** Spread of the expected time over the actual time: unevenness of a step and the error of an estimate with siblings. */
const ratioSpread = 0.25;

function createServers(getKind: (position: number) => string): SpeedSubject[] {
	return Array.from({length: serverCount}, (_, position) => ({
		id: `server-${position}`, cpuMillicores: 64_000, labels: [`rack-${Math.floor(position / serversPerRack)}`, getKind(position)],
	}));
}

type Fleet = {
	speeds: ServerSpeeds;
	timers: VirtualTimers;
	servers: readonly SpeedSubject[];
	trueSpeeds: readonly number[];
};

/** Ends runs at the usual rate; the ratio of each is its backend server's speed with noise. */
function addRuns({
	speeds, timers, servers, trueSpeeds,
}: Fleet, durationMs: number): void {
	const random = createSeededRandomSource(1);
	const intervalMs = 1000 / runsPerSecond / servers.length;
	for (let passedMs = 0; passedMs < durationMs; passedMs += intervalMs) {
		timers.advance(intervalMs);
		const position = Math.floor(random.getFraction() * servers.length);
		const noise = Math.exp(ratioSpread * 2 * Math.sqrt(3) * (random.getFraction() - 0.5));
		const slowdown = random.getFraction() < longTaskShare ? longTaskFactor : 1;
		speeds.addRun(servers[position]!, trueSpeeds[position]! * noise / slowdown);
	}
}

function getSpeeds(speeds: ServerSpeeds, servers: readonly SpeedSubject[]): number[] {
	for (const server of servers) {
		speeds.getSpeed(server);
	}

	return servers.map(server => speeds.getSpeed(server));
}

describe('createServerSpeeds', () => {
	const unequal = Array.from({length: serverCount}, (_, position) => [0.7, 0.7, 1.7][position % 3]!);
	const equal = unequal.map(() => 1);
	const meanSpeed = 3.1 / 3;
	const rows = [
		{
			title: 'speeds that follow the kind', trueSpeeds: unequal, getKind: (position: number) => `kind-${position % 3}`, maxError: 0.15,
		},
		{
			title: 'speeds that do not follow the kind', trueSpeeds: unequal, getKind: (position: number) => `kind-${position % 2}`, maxError: 0.25,
		},
		{
			title: 'equal speeds', trueSpeeds: equal, getKind: (position: number) => `kind-${position % 3}`, maxError: 0,
		},
	];
	for (const {title, trueSpeeds, getKind, maxError} of rows) {
		// Guards against speeds that follow long tasks, and against differences found where there are none.
		it(`${title}, 5 s of usual load → each within ${maxError} of the true one`, () => {
			const timers = new VirtualTimers();
			const speeds = createServerSpeeds(timers);
			const servers = createServers(getKind);
			addRuns({
				speeds, timers, servers, trueSpeeds,
			}, 5000);
			const nominal = trueSpeeds === equal ? 1 : meanSpeed;
			const errors = getSpeeds(speeds, servers).map((speed, position) => Math.abs(Math.log(speed * nominal / trueSpeeds[position]!)));
			assert.ok(Math.max(...errors) <= maxError, `largest error ${Math.max(...errors)}`);
		});
	}

	it('takes the speed of its kind for a backend server without runs', () => {
		const timers = new VirtualTimers();
		const speeds = createServerSpeeds(timers);
		const servers = createServers(position => `kind-${position % 3}`);
		addRuns({
			speeds, timers, servers, trueSpeeds: unequal,
		}, 5000);
		const newcomer = {id: 'newcomer', cpuMillicores: 64_000, labels: ['rack-0', 'kind-2']};
		speeds.getSpeed(newcomer);
		timers.advance(300);
		assert.ok(Math.abs(speeds.getSpeed(newcomer) - 1.65) < 0.15, `${speeds.getSpeed(newcomer)}`);
	});

	// Guards against a fault of a few seconds that is taken for the speed of the backend server, after which nobody finds the fault.
	it('changes little by a fault of 6 s', () => {
		const timers = new VirtualTimers();
		const speeds = createServerSpeeds(timers);
		const servers = createServers(position => `kind-${position % 3}`);
		addRuns({
			speeds, timers, servers, trueSpeeds: equal,
		}, 5000);
		for (let count = 0; count < 10; count++) {
			timers.advance(600);
			speeds.addRun(servers[0]!, 1 / 6);
		}

		assert.ok(speeds.getSpeed(servers[0]!) > 0.75, `${speeds.getSpeed(servers[0]!)}`);
	});

	it('forgets with time, and never leaves its bounds', () => {
		const timers = new VirtualTimers();
		const speeds = createServerSpeeds(timers);
		const servers = createServers(() => 'kind');
		addRuns({
			speeds, timers, servers, trueSpeeds: [0.05, ...equal.slice(1)],
		}, 20_000);
		assert.equal(getSpeeds(speeds, servers)[0], 0.5);
		timers.advance(50_000);
		getSpeeds(speeds, servers);
		timers.advance(50_000);
		getSpeeds(speeds, servers);
		timers.advance(200_000);
		assert.equal(speeds.getSpeed(servers[0]!), 1);
	});
});
