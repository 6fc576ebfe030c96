import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createConfigurationMachine, machineStateSchema} from '../../src/publish/configuration-machine.js';

describe('the state of a snapshot', () => {
	const order = {requestId: 'one', availabilityZone: 'a', isEvacuated: true};

	// Guards against a data folder that a keeper of either version cannot load.
	it('has no evacuations before the first order, so that keepers of earlier versions read it', () => {
		assert.ok(!JSON.stringify(createConfigurationMachine().getState()).includes('evacuations'));
	});

	it('of an earlier version, without evacuations, replaces evacuations by none', () => {
		const machine = createConfigurationMachine();
		machine.evacuations.apply(order);
		machine.setState(machineStateSchema.parse({...createConfigurationMachine().getState(), document: {number: 1, content: 'one'}}));
		assert.deepEqual(machine.evacuations.getEvacuations(), {revision: 0, availabilityZones: []});
	});

	it('carries evacuations and the ids of their orders', () => {
		const source = createConfigurationMachine();
		source.evacuations.apply(order);
		source.evacuations.apply({...order, requestId: 'two', isEvacuated: false});
		const machine = createConfigurationMachine();
		machine.setState(machineStateSchema.parse(source.getState()));
		machine.evacuations.apply(order);
		assert.deepEqual(machine.evacuations.getEvacuations(), {revision: 2, availabilityZones: []});
	});
});
