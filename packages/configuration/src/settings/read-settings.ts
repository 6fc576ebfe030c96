import type {z} from 'zod';
import {findNearestName, FindingsError, type FindingPlace} from '@camphortack/core';
import {sortFindings} from '../check/check-configuration-objects.js';
import {readSection} from '../fields/read-section.js';
import {createErrorFinding, type ConfigurationFinding} from '../findings/configuration-finding.js';
import {readIniSections, type IniSection} from '../ini/read-ini-sections.js';
import {checkSettings} from './check-settings.js';
import {settingsSchema, type Settings, type SettingsSectionName} from './settings-schema.js';

/**
 * Reads the settings of a daemon. Empty text yields the settings of embedded mode: a single daemon with both roles,
 * which listens on free loopback ports and keeps its files in a temporary folder.
 * @param path - The path of the file, for findings.
 * @param text - The content of the file (INI).
 * @throws FindingsError with all findings, sorted by line.
 *
 * @example
 * ```ts
 * readSettings('camphortackd.ini', '[callers]\nport = 8080').callers.port; // 8080
 * ```
 */
export function readSettings(path: string, text: string): Settings {
	const {sections, findings} = readIniSections(path, text);
	const sectionsByName = getSectionsByName(sections, findings);

	const read = <Schema extends z.ZodObject>(name: SettingsSectionName, schema: Schema): z.infer<Schema> => {
		const section = sectionsByName.get(name) ?? {header: name, entries: [], place: {file: path}};
		const result = readSection(section, schema, getSectionPlace(section));
		findings.push(...result.findings);
		return result.value ?? schema.parse({});
	};

	const {shape} = settingsSchema;
	const settings: Settings = {
		daemon: read('daemon', shape.daemon),
		callers: read('callers', shape.callers),
		'backend-servers': read('backend-servers', shape['backend-servers']),
		operators: read('operators', shape.operators),
		peers: read('peers', shape.peers),
		keepers: read('keepers', shape.keepers),
		metrics: read('metrics', shape.metrics),
	};
	findings.push(...checkSettings(settings, (name, key) => getSettingPlace(path, sectionsByName.get(name), name, key)));
	if (findings.length > 0) {
		throw new FindingsError('The settings are not valid:', sortFindings(findings));
	}

	return settings;
}

function getSectionsByName(sections: readonly IniSection[], findings: ConfigurationFinding[]): Map<string, IniSection> {
	const knownNames = Object.keys(settingsSchema.shape);
	const sectionsByName = new Map<string, IniSection>();
	for (const section of sections) {
		const place = getSectionPlace(section);
		const previous = sectionsByName.get(section.header);
		if (!knownNames.includes(section.header)) {
			findings.push(createErrorFinding('unknown-section', 'is not a known section', place, findNearestName(section.header, knownNames)));
		} else if (previous === undefined) {
			sectionsByName.set(section.header, section);
		} else {
			findings.push(createErrorFinding('duplicate-section', `is already declared on line ${previous.place.line}`, place));
		}
	}

	return sectionsByName;
}

function getSectionPlace(section: IniSection): FindingPlace {
	return {...section.place, object: `[${section.header}]`};
}

function getSettingPlace(file: string, section: IniSection | undefined, name: SettingsSectionName, key?: string): FindingPlace {
	const entry = section?.entries.find(candidate => candidate.key === key);
	const place: FindingPlace = {file, ...section?.place, object: `[${name}]`};
	return key === undefined ? place : {...place, ...entry?.place, key};
}
