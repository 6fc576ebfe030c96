import assert from 'node:assert/strict';
import {it} from 'node:test';
import {createSeededRandomSource} from '@camphortack/core';
import {
	configurationObjectsSchema, formatConfigurationObjects, readConfigurationFiles, type ConfigurationObjects,
} from '../../src/index.js';

const setCount = 300;
const seed = 20_261_203;
const random = createSeededRandomSource(seed);

function createName(): string {
	const letters = 'aB1._:-';
	return Array.from({length: random.getInteger(1, 12)}, () => letters[random.getInteger(0, letters.length - 1)]).join('');
}

function createMany<Value>(maxCount: number, create: () => Value): Value[] {
	return Array.from({length: random.getInteger(0, maxCount)}, create);
}

function createObjects(): ConfigurationObjects {
	return configurationObjectsSchema.parse({
		pools: Object.fromEntries(createMany(4, () => [createName(), {
			largestBackendServer: {processors: random.getInteger(1, 4096), accelerators: random.getInteger(0, 1024)},
			largestEjectedShare: random.getFraction(),
			limits: createMany(3, createName),
		}])),
		services: Object.fromEntries(createMany(4, () => [createName(), {pool: createName(), mostQueuedTasks: random.getInteger(1, 1_000_000)}])),
		customers: Object.fromEntries(createMany(4, () => [createName(), {services: createMany(3, createName), weight: 0.001 + random.getFraction()}])),
	});
}

it(`reading formatted objects yields the same objects (${setCount} configurations, seed ${seed})`, () => {
	for (let round = 0; round < setCount; round++) {
		const expected = createObjects();
		const {objects, findings} = readConfigurationFiles([{path: 'all.ini', text: formatConfigurationObjects(expected)}]);
		assert.deepEqual(findings, []);
		assert.deepEqual(objects, expected);
	}
});
