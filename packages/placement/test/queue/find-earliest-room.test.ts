import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findEarliestRoomMs, getEarliestEndMs, type ServerRoom} from '../../src/queue/find-earliest-room.js';

const needs = {cpuMillicores: 40_000, memoryMb: 64, gpuCount: 0};
const smallNeeds = {...needs, cpuMillicores: 10_000};
const none = {cpuMillicores: 0, memoryMb: 0, gpuCount: 0};
const nowMs = 1000;

describe('getEarliestEndMs', () => {
	const rows: Array<{title: string; reportedMs: number; percent: number; expectedMs: number}> = [
		{
			title: 'no report', reportedMs: 0, percent: 0, expectedMs: 100,
		},
		{
			title: 'just begun, so that it has done less than a percent', reportedMs: 80, percent: 0, expectedMs: 8100,
		},
		{
			title: 'a tenth, rounded down', reportedMs: 900, percent: 9, expectedMs: 9100,
		},
		{
			title: 'nearly all', reportedMs: 900, percent: 99, expectedMs: 1000,
		},
	];
	for (const {title, reportedMs, percent, expectedMs} of rows) {
		it(`${title} → ${expectedMs} ms`, () => {
			assert.equal(getEarliestEndMs({startedAtMs: 100, reportedMs, percent}), expectedMs);
		});
	}
});

describe('findEarliestRoomMs', () => {
	const late = {
		startedAtMs: 0, reportedMs: 900, percent: 9, needs,
	};
	const soon = {...late, percent: 29};
	const rows: Array<{title: string; servers: ServerRoom[]; expectedMs: number | undefined}> = [
		{title: 'no backend server', servers: [], expectedMs: undefined},
		{title: 'room now', servers: [{freeCapacity: none, runs: [late]}, {freeCapacity: needs, runs: []}], expectedMs: nowMs},
		{title: 'the run that ends first', servers: [{freeCapacity: none, runs: [late]}, {freeCapacity: none, runs: [soon]}], expectedMs: 3000},
		{title: 'a run that frees too little', servers: [{freeCapacity: none, runs: [{...soon, needs: smallNeeds}]}, {freeCapacity: none, runs: [late]}], expectedMs: 9000},
		{title: 'several runs together', servers: [{freeCapacity: none, runs: [{...soon, needs: smallNeeds}, {...late, needs: {...needs, cpuMillicores: 30_000}}]}], expectedMs: 9000},
		{title: 'none is large enough', servers: [{freeCapacity: none, runs: [{...soon, needs: smallNeeds}]}], expectedMs: undefined},
	];
	for (const {title, servers, expectedMs} of rows) {
		it(`${title} → ${expectedMs ?? 'never'}`, () => {
			assert.equal(findEarliestRoomMs(servers, needs, nowMs), expectedMs);
		});
	}
});
