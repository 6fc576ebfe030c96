import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {hostSchema, isHost} from '../../src/index.js';

function getUrl(host: string): string {
	return host.includes(':') ? `http://[${host}]:80` : `http://${host}:80`;
}

describe('isHost', () => {
	const longLabel = 'a'.repeat(63);
	const rows: Array<{host: string; expected: boolean}> = [
		{host: '10.0.0.1', expected: true},
		{host: '::1', expected: true},
		{host: '2001:db8::ff00:42:8329', expected: true},
		{host: '::ffff:10.0.0.1', expected: true},
		{host: 'localhost', expected: true},
		{host: 'Quotes-1.example', expected: true},
		{host: 'quotes_1.example', expected: true},
		{host: 'quotes.example.', expected: true},
		{host: '1a', expected: true},
		{host: `${longLabel}.example`, expected: true},
		{host: `${longLabel}a.example`, expected: false},
		{host: [longLabel, longLabel, longLabel, longLabel].join('.'), expected: false},
		{host: '', expected: false},
		{host: ' ', expected: false},
		{host: 'a b', expected: false},
		{host: '[::1', expected: false},
		{host: '[::1]', expected: false},
		{host: 'fe80::1%eth0', expected: false},
		{host: '10.0.0.1/x', expected: false},
		{host: '10.0.0.1:80', expected: false},
		{host: '10.0.0.256', expected: false},
		{host: '010.0.0.1', expected: false},
		{host: '10.0.1', expected: false},
		{host: '1', expected: false},
		{host: 'a.0x1', expected: false},
		{host: '0x7f000001', expected: false},
		{host: '%zz', expected: false},
		{host: 'a%41', expected: false},
		{host: '#', expected: false},
		{host: 'user@host', expected: false},
		{host: 'a..b', expected: false},
		{host: '.a', expected: false},
		{host: '-a', expected: false},
		{host: 'a-', expected: false},
		{host: 'xn--', expected: false},
		{host: 'ö.example', expected: false},
		{host: 'a\n', expected: false},
		{host: 'a\0', expected: false},
		{host: '\uD800', expected: false},
	];
	for (const {host, expected} of rows) {
		it(`${JSON.stringify(host)} → ${expected}`, () => {
			assert.equal(isHost(host), expected);
			assert.equal(hostSchema.safeParse(host).success, expected);
		});
	}

	it('accepts only hosts that a URL can hold unchanged', () => {
		const unit = fc.constantFrom(...'019af._-:%xn[/ ');
		const names = fc.string({unit, maxLength: 12});
		const texts = fc.oneof(fc.string(), fc.domain(), fc.ipV4(), fc.ipV6(), names, names.map(name => `xn--${name}`));
		fc.assert(fc.property(texts, host => {
			if (isHost(host)) {
				assert.equal(new URL(getUrl(host)).pathname, '/');
			}
		}), {seed: 1, numRuns: 2000});
	});
});
