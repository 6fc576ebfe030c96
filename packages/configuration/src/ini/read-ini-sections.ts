import {parse, unsafe} from 'ini';
import type {FindingPlace} from '@camphortack/core';
import {createErrorFinding, type ConfigurationFinding} from '../findings/configuration-finding.js';

/** A `key = value` line. */
export type IniEntry = {
	key: string;
	text: string;
	place: FindingPlace;
};

/** A `[header]` and the entries below it. */
export type IniSection = {
	header: string;
	entries: IniEntry[];
	place: FindingPlace;
};

const headerPattern = /^\[(?<header>[^\]]*)\]\s*(?:[;#].*)?$/v;
/** The library would take such a quote as part of the value, up to the first comment sign. */
const invalidQuotePattern = /^[^=]+=\s*(?:"(?:.*[^"])?|'(?:.*[^'])?)$/v;
const blankPattern = /^(?:[;#].*)?$/v;

/**
 * Reads the sections of an INI text in their order, with the line of each header and key.
 * The library decodes headers, keys and values; only the lines are found here, since it does not tell them.
 * @param file - The file's name, for the places.
 * @param text - The file's content.
 *
 * @example
 * ```ts
 * readIniSections('pools.ini', '[pool walnut]\nlimits = a, b').sections[0]?.header; // 'pool walnut'
 * ```
 */
export function readIniSections(file: string, text: string): {sections: IniSection[]; findings: ConfigurationFinding[]} {
	const sections: IniSection[] = [];
	const findings: ConfigurationFinding[] = [];
	const lines = text.replace(/^\uFEFF/v, '').split(/\r\n|\n|\r/v);
	for (const [index, rawLine] of lines.entries()) {
		const line = rawLine.trim();
		const place: FindingPlace = {file, line: index + 1};
		const header = headerPattern.exec(line)?.groups?.header;
		if (header !== undefined) {
			sections.push({header: decodeHeader(header), entries: [], place});
		} else if (!blankPattern.test(line)) {
			addEntry(line, place, sections.at(-1), findings);
		}
	}

	return {sections, findings};
}

function addEntry(line: string, place: FindingPlace, section: IniSection | undefined, findings: ConfigurationFinding[]): void {
	const entry = decodeEntry(line, place);
	if (invalidQuotePattern.test(line)) {
		findings.push(createErrorFinding('bad-quotes', `${line} has a quote that does not end the line; put a comment in a line of its own`, place));
	} else if (entry === undefined) {
		findings.push(createErrorFinding('not-ini', `"${line}" is neither a [section] nor a key = value`, place));
	} else if (section === undefined) {
		findings.push(createErrorFinding('key-outside-section', `"${entry.key}" stands before the first [section]`, place));
	} else {
		section.entries.push(entry);
	}
}

/** A header in quotes may decode to another value than a text; it is then taken as it stands. */
function decodeHeader(header: string): string {
	const decoded: unknown = unsafe(header);
	return typeof decoded === 'string' ? decoded : header;
}

function decodeEntry(line: string, place: FindingPlace): IniEntry | undefined {
	if (!line.includes('=') || line.startsWith('[') || line.startsWith('=')) {
		return undefined;
	}

	const decoded = Object.entries(parse(line, {bracketedArray: false}))[0];
	return decoded === undefined ? undefined : {key: decoded[0], text: String(decoded[1]), place};
}
