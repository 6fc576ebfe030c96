import {findNearestName, nameSchema, type FindingPlace} from '@camphortack/core';
import {readSection} from '../fields/read-section.js';
import {createErrorFinding, type ConfigurationFinding} from '../findings/configuration-finding.js';
import {createConfigurationPlaces, type ConfigurationPlaces} from '../findings/configuration-places.js';
import {readIniSections, type IniSection} from '../ini/read-ini-sections.js';
import {getObjectName, objectKinds, type ObjectKind} from '../objects/object-kinds.js';
import {configurationObjectsSchema, type ConfigurationObjects} from '../objects/object-schemas.js';

/** The path and content of a file. */
export type ConfigurationFile = {
	path: string;
	text: string;
};

/** The valid objects of all files, the findings about the others, and the place of each object and key. */
export type ConfigurationReadResult = {
	objects: ConfigurationObjects;
	findings: ConfigurationFinding[];
	places: ConfigurationPlaces;
};

const kindsByName = new Map(objectKinds.map(kind => [kind.kind, kind]));

/**
 * Reads the objects of a set of INI files, one object per section.
 * @param files - The files.
 *
 * @example
 * ```ts
 * const {objects} = readConfigurationFiles([{path: 'a.ini', text: '[pool walnut]'}]);
 * Object.keys(objects.pools); // ['walnut']
 * ```
 */
export function readConfigurationFiles(files: readonly ConfigurationFile[]): ConfigurationReadResult {
	const result: ConfigurationReadResult = {
		objects: configurationObjectsSchema.parse({}),
		findings: [],
		places: createConfigurationPlaces(),
	};
	for (const file of files) {
		const {sections, findings} = readIniSections(file.path, file.text);
		result.findings.push(...findings);
		for (const section of sections) {
			readObject(section, result);
		}
	}

	return result;
}

function readObject(section: IniSection, result: ConfigurationReadResult): void {
	const [kindName = '', name = '', ...rest] = section.header.trim().split(/\s+/v);
	const kind = kindsByName.get(kindName);
	if (kind === undefined) {
		const message = `"${kindName}" is not a known kind of object`;
		result.findings.push(createErrorFinding('unknown-kind', message, section.place, findNearestName(kindName, kindsByName.keys())));
		return;
	}

	if (rest.length > 0 || name === '__proto__' || !nameSchema.safeParse(name).success) {
		const message = `[${section.header}] must be [${kind.kind} NAME]; a name has 1 to 128 letters, digits, ".", "_", ":" or "-"`;
		result.findings.push(createErrorFinding('bad-name', message, section.place));
		return;
	}

	addObject(kind, name, section, result);
}

function addObject(kind: ObjectKind, name: string, section: IniSection, result: ConfigurationReadResult): void {
	const object = getObjectName(kind.kind, name);
	const place: FindingPlace = {...section.place, object};
	if (result.places.hasObject(object)) {
		const {file, line} = result.places.getPlace(object);
		result.findings.push(createErrorFinding('duplicate-object', `is already declared in ${file}:${line}`, place));
		return;
	}

	result.places.addObject(object, place);
	for (const entry of section.entries) {
		result.places.addKey(object, entry.key, entry.place);
	}

	const {value, findings} = readSection(section, kind.schema, place);
	result.findings.push(...findings);
	if (value !== undefined) {
		Object.assign(result.objects[kind.collection], {[name]: value});
	}
}
