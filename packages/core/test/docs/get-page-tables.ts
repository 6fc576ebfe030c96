import {
	eventCatalogue, failureReasons, metricDescriptions, refusalCodeNames, getEventDescription, getRefusalDescription, type EventName,
} from '../../src/index.js';

/** A generated table in a page, delimited by the lines `<!-- table: NAME -->` and `<!-- end -->`. */
export type PageTable = {
	/** The file name of the page in docs/. */
	page: string;
	name: string;
	text: string;
};

/** Generates the tables of the reference pages from the catalogues of this package. */
export function getPageTables(): PageTable[] {
	return [
		{page: 'EVENTS.md', name: 'events', text: getEventTable()},
		{page: 'METRICS.md', name: 'metrics', text: getMetricTable()},
		{page: 'METRICS.md', name: 'refusals', text: getRefusalTable()},
		{page: 'METRICS.md', name: 'failures', text: getFailureTable()},
	];
}

/**
 * Replaces the text of a table in a page.
 * @throws Error if the page has no such table.
 */
export function replaceTable(pageText: string, table: PageTable): string {
	const start = `<!-- table: ${table.name} -->\n`;
	const end = '\n<!-- end -->';
	const startIndex = pageText.indexOf(start);
	const endIndex = pageText.indexOf(end, startIndex);
	if (startIndex === -1 || endIndex === -1) {
		throw new Error(`docs/${table.page} has no table "${table.name}"`);
	}

	return `${pageText.slice(0, startIndex + start.length)}${table.text}${pageText.slice(endIndex)}`;
}

function getEventTable(): string {
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The keys of a constant object are known.
	const names = Object.keys(eventCatalogue) as EventName[];
	const events = names.map(name => ({name, ...getEventDescription(name)})).toSorted((left, right) => left.number - right.number);
	return getTable(['number', 'name', 'level', 'what happened', 'what to do'], events.map(event => [
		`E${event.number}`, `\`${event.name}\``, event.level, event.summary, event.action,
	]));
}

function getMetricTable(): string {
	return getTable(['metric', 'meaning'], Object.entries(metricDescriptions).map(([name, meaning]) => [`\`${name}\``, meaning]));
}

function getRefusalTable(): string {
	return getTable(['counter', 'HTTP status', 'meaning'], refusalCodeNames.map(code => {
		const {httpStatus, meaning} = getRefusalDescription(code);
		return [`\`refused-${code}\``, String(httpStatus), meaning];
	}));
}

function getFailureTable(): string {
	return getTable(['counter'], failureReasons.map(reason => [`\`job-failed-${reason}\``]));
}

function getTable(header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	return [header, header.map(() => '---'), ...rows].map(cells => `| ${cells.join(' | ')} |`).join('\n');
}
