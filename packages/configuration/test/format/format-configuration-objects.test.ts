import assert from 'node:assert/strict';
import {it} from 'node:test';
import {createSeededRandomSource} from '@camphortack/core';
import {
	configurationObjectsSchema, formatConfigurationObjects, readConfigurationFiles, type ConfigurationObjects,
} from '../../src/index.js';

const setCount = 300;
const seed = 20_261_203;
const random = createSeededRandomSource(seed);

function getName(): string {
	const letters = 'aB1._:-';
	return Array.from({length: random.getInteger(1, 12)}, () => letters[random.getInteger(0, letters.length - 1)]).join('');
}

function getMany<Value>(most: number, create: () => Value): Value[] {
	return Array.from({length: random.getInteger(0, most)}, create);
}

function getObjects(): ConfigurationObjects {
	return configurationObjectsSchema.parse({
		pools: Object.fromEntries(getMany(4, () => [getName(), {
			largestBackendServer: {processors: random.getInteger(1, 4096), accelerators: random.getInteger(0, 1024)},
			largestEjectedShare: random.getFraction(),
			limits: getMany(3, getName),
		}])),
		services: Object.fromEntries(getMany(4, () => [getName(), {pool: getName(), mostQueuedTasks: random.getInteger(1, 1_000_000)}])),
		customers: Object.fromEntries(getMany(4, () => [getName(), {services: getMany(3, getName), weight: 0.001 + random.getFraction()}])),
	});
}

it(`objects written as INI read back as the same objects (${setCount} sets, seed ${seed})`, () => {
	for (let round = 0; round < setCount; round++) {
		const expected = getObjects();
		const {objects, findings} = readConfigurationFiles([{path: 'all.ini', text: formatConfigurationObjects(expected)}]);
		assert.deepEqual(findings, []);
		assert.deepEqual(objects, expected);
	}
});
