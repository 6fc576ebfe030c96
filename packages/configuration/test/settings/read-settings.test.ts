import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {FindingsError, formatFinding} from '@camphortack/core';
import {readSettings} from '../../src/index.js';

const hash = 'ab'.repeat(32);

function getFindings(text: string): string[] {
	try {
		readSettings('d.ini', text);
		return [];
	} catch (error) {
		assert.ok(error instanceof FindingsError);
		return error.findings.map(finding => formatFinding(finding));
	}
}

describe('readSettings', () => {
	it('returns the settings of embedded mode for an empty file', () => {
		const settings = readSettings('d.ini', '');
		assert.deepEqual(settings.daemon, {
			id: 'daemon-1', availabilityZone: 'zone-1', roles: ['entry', 'keeper'], memoryMegabytes: 1024, maxFileDescriptors: 16_384,
		});
		assert.deepEqual([settings.callers, settings['backend-servers'], settings.operators.host], [
			{host: '127.0.0.1', port: 0}, {host: '127.0.0.1', port: 0, tokenHashes: []}, '127.0.0.1',
		]);
		assert.deepEqual(settings.keepers.ids, []);
	});

	it('reads seeds', () => {
		const {peers} = readSettings('d.ini', '[peers]\nseeds = a@north@10.0.0.1:7000, b@south@[fd00::2]:7001');
		assert.deepEqual(peers.seeds, [
			{
				id: 'a',
				availabilityZone: 'north',
				host: '10.0.0.1',
				port: 7000,
			},
			{
				id: 'b',
				availabilityZone: 'south',
				host: 'fd00::2',
				port: 7001,
			},
		]);
	});

	const rows: Array<{text: string; expected: string[]}> = [
		{text: `[operators]\ntokenHashes = ${hash}\n[callers]\nhost = 0.0.0.0`, expected: []},
		{
			text: '[caller]\n[callers]\nhots = x\nport = 70000\n[callers]',
			expected: [
				'd.ini:1: [caller]: is not a known section (did you mean "callers"?)',
				'd.ini:3: [callers] hots: is not a known key (did you mean "host"?)',
				'd.ini:4: [callers] port: "70000" is not valid: must be a whole number from 0 to 65535',
				'd.ini:5: [callers]: is already declared on line 2',
			],
		},
		{
			text: '[daemon]\nroles = entry, keper\n[peers]\nseeds = a@north@10.0.0.1:99999',
			expected: [
				'd.ini:2: [daemon] roles: "entry, keper" is not valid: must be a comma-separated list, each one of entry, keeper',
				'd.ini:4: [peers] seeds: "a@north@10.0.0.1:99999" is not valid: must be a comma-separated list, each id@availability-zone@host:port',
			],
		},
		{
			text: '[callers]\nhost = 0.0.0.0\n[peers]\nhost = 127.0.0.1.evil.example',
			expected: [
				'd.ini:2: [callers] host: "0.0.0.0" is reachable from other VMs, but [operators] tokenHashes is empty; set a token or listen on 127.0.0.1',
				'd.ini:4: [peers] host: "127.0.0.1.evil.example" is reachable from other VMs, but [operators] tokenHashes is empty; set a token or listen on 127.0.0.1',
			],
		},
		{
			text: '[peers]\ntlsKeyFile = key.pem',
			expected: [
				'd.ini:1: [peers] tlsCertificateFile: is missing: set all three TLS files or none',
				'd.ini:1: [peers] tlsAuthorityFile: is missing: set all three TLS files or none',
			],
		},
		{
			text: '[keepers]\nids = daemon-1, daemon-2\n[peers]\nseeds = a@n@h:1, a@n@h:2',
			expected: ['d.ini: [daemon] dataFolder: is missing: one of several keepers must have a permanent data folder', 'd.ini:4: [peers] seeds: lists "a" twice'],
		},
		{
			text: '[daemon]\nroles = entry',
			expected: ['d.ini: [keepers] ids: is missing: a daemon without the keeper role must list the keepers'],
		},
		{
			text: '[daemon]\nroles = entry\n[keepers]\nids = daemon-1',
			expected: ['d.ini:4: [keepers] ids: lists this daemon "daemon-1", which does not have the keeper role'],
		},
		{
			text: '[daemon]\nroles = entry\n[keepers]\nids = k',
			expected: ['d.ini: [peers] seeds: is missing: other keepers are listed, but no daemon to contact'],
		},
	];
	for (const {text, expected} of rows) {
		it(`reports all errors in ${JSON.stringify(text)}`, () => {
			assert.deepEqual(getFindings(text), expected);
		});
	}
});
