import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {
	eventCatalogue, failureReasons, metricDescriptions, refusalCodeNames,
} from '../../src/index.js';
import {getPageTables, replaceTable} from './get-page-tables.js';

function readPage(page: string): string {
	return readFileSync(new URL(`../../../../docs/${page}`, import.meta.url), 'utf8');
}

describe('reference pages', () => {
	for (const table of getPageTables()) {
		it(`docs/${table.page} matches the ${table.name} in the code (write-page-tables.ts regenerates the table)`, () => {
			const text = readPage(table.page);
			assert.equal(text, replaceTable(text, table));
		});
	}

	it('docs/OPERATIONS.md refers only to existing events and metrics', () => {
		const text = readPage('OPERATIONS.md');
		const eventNumbers = new Set(Object.values(eventCatalogue).map(({number}) => String(number)));
		const metrics = new Set([
			...Object.keys(metricDescriptions),
			...refusalCodeNames.map(code => `refused-${code}`),
			...failureReasons.map(reason => `job-failed-${reason}`),
		]);
		const mentionedEvents = [...text.matchAll(/\bE(?<number>\d{4})\b/gv)].map(match => match.groups!.number!);
		const mentionedMetrics = [...text.matchAll(/`camphortack\.(?<name>[a-z\-]+)`/gv)].map(match => match.groups!.name!);
		assert.ok(mentionedEvents.length > 5 && mentionedMetrics.length > 5);
		assert.deepEqual(mentionedEvents.filter(number => !eventNumbers.has(number)), []);
		assert.deepEqual(mentionedMetrics.filter(name => !metrics.has(name)), []);
	});
});

describe('eventCatalogue', () => {
	it('assigns a unique number to each event', () => {
		const numbers = Object.values(eventCatalogue).map(({number}) => number);
		assert.equal(new Set(numbers).size, numbers.length);
	});
});
