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
/** The library treats a quote that does not end the line as part of the value, which then ends at the first comment character. */
const invalidQuotePattern = /^[^=]+=\s*(?:"(?:.*[^"])?|'(?:.*[^'])?)$/v;
const blankPattern = /^(?:[;#].*)?$/v;

/**
 * Reads the sections of INI text in order, with the line number of each header and key.
 * The library decodes headers, keys and values but does not report line numbers, so the text is split into lines here.
 * @param file - The path of the file, for findings.
 * @param text - The content of the file.
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
		findings.push(createErrorFinding('bad-quotes', `${line} has an unclosed quote or text after the closing quote; put comments on a separate line`, place));
	} else if (entry === undefined) {
		findings.push(createErrorFinding('not-ini', `"${line}" is neither a [section] nor a key = value`, place));
	} else if (section === undefined) {
		findings.push(createErrorFinding('key-outside-section', `"${entry.key}" appears before the first [section]`, place));
	} else {
		section.entries.push(entry);
	}
}

/** A quoted header can decode to a value that is not a string. The header is then used as written. */
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
