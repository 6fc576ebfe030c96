import {readFileSync, writeFileSync} from 'node:fs';
import {getPageTables, replaceTable} from './get-page-tables.js';

for (const table of getPageTables()) {
	const url = new URL(`../../../../docs/${table.page}`, import.meta.url);
	writeFileSync(url, replaceTable(readFileSync(url, 'utf8'), table));
}
