import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSeededRandomSource, FindingsError} from '@camphortack/core';
import {checkConfigurationFiles, readSettings} from '../../src/index.js';
import {readIniSections} from '../../src/ini/read-ini-sections.js';

const textCount = 3000;
const seed = 7;
const specialCharacters = [...'[]=\'"\n\r;#\\ ,.\u0000\uFEFF\u{1F600}'];
const words = '{"a":1} [1] null true __proto__ constructor pool service limit callers port limits seeds x 1e9'.split(' ');
const fragments = [...specialCharacters, ...words];

describe('readIniSections', () => {
	const rows: Array<{text: string; expected: Array<[header: string, ...entries: string[]]>}> = [
		{text: '[a]\nk = "x;y"\nl = z ; note\n[b] # note\nk=\'q\'', expected: [['a', 'k=x;y', 'l=z'], ['b', 'k=q']]},
		{text: '[\'{"a":1}\']\n\'null\' = x\n[]\nk =', expected: [['\'{"a":1}\'', 'null=x'], ['', 'k=']]},
		{text: '\uFEFF[a]\r\n  k = a=b\r\n', expected: [['a', 'k=a=b']]},
	];
	for (const {text, expected} of rows) {
		it(`reads ${JSON.stringify(text)}`, () => {
			const {sections} = readIniSections('a.ini', text);
			assert.deepEqual(sections.map(section => [section.header, ...section.entries.map(entry => `${entry.key}=${entry.text}`)]), expected);
		});
	}

	for (const line of ['k = "x;y" ; note', 'k = "', 'k = \'x']) {
		it(`reports invalid quotes in ${line}`, () => {
			const {sections, findings} = readIniSections('a.ini', `[a]\n${line}`);
			assert.deepEqual([sections[0]?.entries, findings.map(({code, place}) => [code, place.line])], [[], [['bad-quotes', 2]]]);
		});
	}

	it(`arbitrary text causes findings but no other error (${textCount} texts, seed ${seed})`, () => {
		const random = createSeededRandomSource(seed);
		for (let round = 0; round < textCount; round++) {
			const text = Array.from({length: random.getInteger(0, 30)}, () => fragments[random.getInteger(0, fragments.length - 1)]).join('');
			assert.doesNotThrow(() => checkConfigurationFiles([{path: 'a.ini', text}]), JSON.stringify(text));
			try {
				readSettings('a.ini', text);
			} catch (error) {
				assert.ok(error instanceof FindingsError, `${JSON.stringify(text)}: ${String(error)}`);
			}
		}
	});
});
