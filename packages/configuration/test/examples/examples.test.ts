import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {checkConfigurationFiles, readSettings, type Settings} from '../../src/index.js';

const examplesUrl = new URL('../../../../examples/', import.meta.url);

function readFolder(path: string): Array<{path: string; text: string}> {
	const folderUrl = new URL(path, examplesUrl);
	return readdirSync(folderUrl).map(name => ({path: name, text: readFileSync(new URL(name, folderUrl), 'utf8')}));
}

const rows = [
	{example: 'schellack-glanz', daemonCount: 7, zoneCount: 3},
	{example: 'restaurierwerk', daemonCount: 8, zoneCount: 4},
];
for (const {example, daemonCount, zoneCount} of rows) {
	describe(`examples/${example}`, () => {
		it('has objects without findings', () => {
			assert.deepEqual(checkConfigurationFiles(readFolder(`${example}/objects/`)).findings, []);
		});

		it('has valid and consistent settings for every entry VM', () => {
			const files = readFolder(`${example}/settings/`);
			const daemons = files.map(({path, text}) => readSettings(path, text));
			const addresses = new Map(daemons.map(settings => [settings.daemon.id, getAddress(settings)]));
			const {objects} = checkConfigurationFiles(readFolder(`${example}/objects/`));
			assert.equal(addresses.size, daemonCount);
			assert.equal(Object.keys(objects.availabilityZones).length, zoneCount);
			assert.deepEqual(files.map(({path}) => path), daemons.map(settings => `${settings.daemon.id}.ini`));
			for (const settings of daemons) {
				assert.ok(Object.hasOwn(objects.availabilityZones, settings.daemon.availabilityZone));
				assert.deepEqual(settings.keepers, daemons[0]!.keepers);
				assert.equal(settings.keepers.ids.includes(settings.daemon.id), settings.daemon.roles.includes('keeper'));
				assert.deepEqual(settings.peers.seeds.map(seed => addresses.get(seed.id)), settings.peers.seeds);
			}
		});

		it('retains a majority of keepers if any availability zone fails', () => {
			const keepers = readFolder(`${example}/settings/`).map(({path, text}) => readSettings(path, text)).filter(({daemon}) => daemon.roles.includes('keeper'));
			for (const zone of new Set(keepers.map(({daemon}) => daemon.availabilityZone))) {
				const remaining = keepers.filter(({daemon}) => daemon.availabilityZone !== zone);
				assert.ok(remaining.length * 2 > keepers.length, `without ${zone}`);
			}
		});
	});
}

function getAddress({daemon, peers}: Settings): Settings['peers']['seeds'][number] {
	return {
		id: daemon.id,
		availabilityZone: daemon.availabilityZone,
		host: peers.host,
		port: peers.port,
	};
}
