import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	configurationObjectsSchema, formatObjectDifferences, getObjectDifferences, type ConfigurationObjects,
} from '../../src/index.js';

const parseObjects = (input: unknown): ConfigurationObjects => configurationObjectsSchema.parse(input);

describe('getObjectDifferences', () => {
	const before = parseObjects({pools: {oak: {}, walnut: {}}, limits: {l: {tasksInFlight: 3}}});
	const after = parseObjects({pools: {walnut: {availabilityZones: ['north']}}, limits: {l: {tasksPerSecond: 2}}, customers: {constructor: {}}});

	it('lists added, removed and changed objects with old and new values', () => {
		assert.equal(formatObjectDifferences(getObjectDifferences(before, after)), `\
- pool/oak
    availabilityZones: []
    largestEjectedShare: 0.3
    limits: []
~ pool/walnut
    availabilityZones: [] -> [north]
~ limit/l
    tasksInFlight: 3 -> not set
    tasksPerSecond: not set -> 2
+ customer/constructor
    weight: 1
    services: []
    tokenHashes: []
    limits: []`);
	});

	it('finds no differences between equal configurations in different order', () => {
		assert.deepEqual(getObjectDifferences(before, parseObjects({limits: {l: {tasksInFlight: 3}}, pools: {walnut: {}, oak: {}}})), []);
	});
});
