import type {z} from 'zod';
import {findNearestName, type FindingPlace} from '@camphortack/core';
import {createErrorFinding, type ConfigurationFinding} from '../findings/configuration-finding.js';
import type {IniEntry, IniSection} from '../ini/read-ini-sections.js';
import {getFields, type Field} from './field.js';

type SectionValues = Record<string, unknown>;

/** The value of a section and the findings about it. The value is undefined if a required key is missing or invalid. */
export type SectionReadResult<Value> = {
	value: Value | undefined;
	findings: ConfigurationFinding[];
};

/**
 * Parses the entries of a section with a schema. An invalid key is reported and replaced by its default,
 * so that the other keys of the section can still be checked.
 * @param section - The section.
 * @param schema - The schema of the section.
 * @param place - The place of the section, including the name of its object.
 */
export function readSection<Schema extends z.ZodObject>(section: IniSection, schema: Schema, place: FindingPlace): SectionReadResult<z.infer<Schema>> {
	const fields = new Map(getFields(schema).map(field => [field.key, field]));
	const {entries, findings} = getKnownEntries(section, fields, place);
	const values = getValues(entries, fields);
	const firstResult = schema.safeParse(values);
	if (firstResult.success) {
		return {value: firstResult.data, findings};
	}

	for (const field of getInvalidFields(firstResult.error, fields)) {
		findings.push(createFieldFinding(field, entries.get(field.key), place));
		setValue(values, field.path, undefined);
	}

	return {value: schema.safeParse(values).data, findings};
}

function getKnownEntries(section: IniSection, fields: ReadonlyMap<string, Field>, place: FindingPlace): {entries: Map<string, IniEntry>; findings: ConfigurationFinding[]} {
	const entries = new Map<string, IniEntry>();
	const findings: ConfigurationFinding[] = [];
	for (const entry of section.entries) {
		const entryPlace = {...place, ...entry.place, key: entry.key};
		const previous = entries.get(entry.key);
		if (!fields.has(entry.key)) {
			findings.push(createErrorFinding('unknown-key', 'is not a known key', entryPlace, findNearestName(entry.key, fields.keys())));
		} else if (previous === undefined) {
			entries.set(entry.key, entry);
		} else {
			findings.push(createErrorFinding('duplicate-key', `is already set on line ${previous.place.line}`, entryPlace));
		}
	}

	return {entries, findings};
}

function getValues(entries: ReadonlyMap<string, IniEntry>, fields: ReadonlyMap<string, Field>): SectionValues {
	const values: SectionValues = {};
	for (const [key, entry] of entries) {
		const field = fields.get(key)!;
		setValue(values, field.path, getValue(field, entry.text));
	}

	return values;
}

function getValue(field: Field, text: string): unknown {
	switch (field.type) {
		case 'list': {
			return text.trim() === '' ? [] : text.split(',').map(item => item.trim());
		}

		case 'number':
		case 'whole number': {
			return /^-?\d+(?:\.\d+)?$/v.test(text) ? Number(text) : text;
		}

		case 'text': {
			return text;
		}
	}
}

function setValue(values: SectionValues, path: readonly string[], value: unknown): void {
	const [first, ...rest] = path;
	if (rest.length === 0) {
		values[first!] = value;
		return;
	}

	const current = values[first!];
	const nested = isSectionValues(current) ? current : {};
	setValue(nested, rest, value);
	values[first!] = nested;
}

function isSectionValues(value: unknown): value is SectionValues {
	return typeof value === 'object' && value !== null;
}

function getInvalidFields(error: z.ZodError, fields: ReadonlyMap<string, Field>): Set<Field> {
	const invalidFields = new Set<Field>();
	for (const issue of error.issues) {
		for (const field of fields.values()) {
			if (field.path.every((part, index) => issue.path[index] === part)) {
				invalidFields.add(field);
			}
		}
	}

	return invalidFields;
}

function createFieldFinding(field: Field, entry: IniEntry | undefined, place: FindingPlace): ConfigurationFinding {
	if (entry === undefined) {
		return createErrorFinding('missing-key', `is missing: must be ${field.bounds}`, {...place, key: field.key});
	}

	const entryPlace = {...place, ...entry.place, key: field.key};
	return createErrorFinding('bad-value', `"${entry.text}" is not valid: must be ${field.bounds}`, entryPlace);
}
