import assert from 'node:assert/strict';
import {it} from 'node:test';
import {z} from 'zod';
import fc from 'fast-check';
import {configurationObjectsSchema, formatConfigurationObjects, readConfigurationFiles} from '../../src/index.js';

const name = fc.string({unit: fc.constantFrom(...'aB1._:-'), minLength: 1, maxLength: 12});
const names = fc.uniqueArray(name, {maxLength: 3});
const needs = fc.record({processors: fc.integer({min: 1, max: 4096}), accelerators: fc.nat(1024)}, {requiredKeys: []});
const objects = fc.record({
	pools: fc.dictionary(name, fc.record({largestBackendServer: needs, limits: names, largestEjectedShare: fc.constantFrom(0, 0.25, 1)}), {maxKeys: 4}),
	services: fc.dictionary(name, fc.record({pool: name, mostQueuedTasks: fc.integer({min: 1, max: 1_000_000})}), {maxKeys: 4}),
	customers: fc.dictionary(name, fc.record({services: names, weight: fc.double({min: 0.001, max: 1000, noNaN: true})}), {maxKeys: 4}),
});

it('objects written as INI read back as the same objects', () => {
	fc.assert(fc.property(objects, input => {
		const expected = configurationObjectsSchema.parse(input);
		const {objects: actual, findings} = readConfigurationFiles([{path: 'all.ini', text: formatConfigurationObjects(expected)}]);
		assert.deepEqual(findings, []);
		assert.deepEqual(z.json().parse(actual), z.json().parse(withoutEmptyNeeds(expected)));
	}), {seed: 20_261_203, numRuns: 300});
});

/** A nested value without any key is not written, and means the same as none. */
function withoutEmptyNeeds(set: z.infer<typeof configurationObjectsSchema>): unknown {
	return JSON.parse(JSON.stringify(set).replaceAll(',"largestBackendServer":{}', ''));
}
