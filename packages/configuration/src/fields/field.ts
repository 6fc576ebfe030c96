import {z} from 'zod';
import {nameSchema} from '@camphortack/core';

/** The type of a value as written in a file. */
export type FieldType = 'text' | 'number' | 'whole number' | 'list';

/** A key of a section, as described by the schema. */
export type Field = {
	/** The key as written in the file; the parts of a nested key are joined by dots. */
	key: string;
	path: readonly string[];
	type: FieldType;
	/** The accepted values, such as `a whole number from 1 to 4096`. */
	bounds: string;
	/** The unit indicated by the suffix of the key, or an empty string. */
	unit: string;
	/** The default as written in a file, or undefined if there is none. */
	defaultText: string | undefined;
	isRequired: boolean;
	description: string;
};

type JsonSchema = {
	type?: string;
	properties?: Record<string, JsonSchema>;
	required?: string[];
	items?: JsonSchema;
	enum?: string[];
	minimum?: number;
	maximum?: number;
	exclusiveMinimum?: number;
	default?: unknown;
	description?: string;
	pattern?: string;
	/** A description of the accepted strings; set as metadata of the schema. */
	form?: string;
};

const namePattern = getJsonSchema(nameSchema).pattern;

const fieldsBySchema = new WeakMap<z.ZodObject, readonly Field[]>();

const typesByJsonType: ReadonlyMap<string, FieldType> = new Map([
	['integer', 'whole number'],
	['number', 'number'],
	['array', 'list'],
]);

const unitsBySuffix: ReadonlyArray<readonly [suffix: string, unit: string]> = [
	['Ms', 'milliseconds'],
	['PerSecond', 'per second'],
	['workerSecondsPerHour', 'worker-seconds per hour'],
	['Seconds', 'seconds'],
	['Megabytes', 'megabytes'],
	['Bytes', 'bytes'],
	['Ratio', 'share of 1'],
	['Share', 'share of 1'],
];

/**
 * Gets the keys that a section with this schema may contain. The result is cached per schema.
 * @param schema - The schema of the section.
 *
 * @example
 * ```ts
 * getFields(z.strictObject({waitMs: z.int().min(1).max(9).default(2)}))[0]?.bounds; // 'a whole number from 1 to 9'
 * ```
 */
export function getFields(schema: z.ZodObject): readonly Field[] {
	const cached = fieldsBySchema.get(schema);
	if (cached !== undefined) {
		return cached;
	}

	const fields = getNestedFields(getJsonSchema(schema), []);
	fieldsBySchema.set(schema, fields);
	return fields;
}

function getJsonSchema(schema: z.ZodType): JsonSchema {
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The type covers only the keywords that are used here.
	return z.toJSONSchema(schema, {io: 'input'}) as JsonSchema;
}

function getNestedFields(schema: JsonSchema, parentPath: readonly string[], parentDescription?: string): Field[] {
	return Object.entries(schema.properties ?? {}).flatMap(([name, property]) => {
		const path = [...parentPath, name];
		if (property.type === 'object') {
			return getNestedFields(property, path, property.description);
		}

		return [{
			key: path.join('.'),
			path,
			type: getFieldType(property),
			bounds: getBounds(property),
			unit: getUnit(name),
			defaultText: property.default === undefined ? undefined : formatDefault(property.default),
			isRequired: schema.required?.includes(name) ?? false,
			description: [property.description, parentDescription].filter(part => part !== undefined).join(' '),
		}];
	});
}

function getFieldType(schema: JsonSchema): FieldType {
	return typesByJsonType.get(schema.type ?? '') ?? 'text';
}

function getBounds(schema: JsonSchema): string {
	if (schema.form !== undefined) {
		return schema.form;
	}

	if (schema.enum !== undefined) {
		return `one of ${schema.enum.join(', ')}`;
	}

	if (schema.type === 'array') {
		return `a comma-separated list, each ${getBounds(schema.items ?? {})}`;
	}

	if (schema.type === 'integer' || schema.type === 'number') {
		return getNumberBounds(schema);
	}

	return schema.pattern !== undefined && schema.pattern === namePattern ? 'a name' : 'a string';
}

function getNumberBounds(schema: JsonSchema): string {
	const type = schema.type === 'integer' ? 'a whole number' : 'a number';
	const {exclusiveMinimum, minimum, maximum} = schema;
	const hasMaximum = maximum !== undefined && maximum !== Number.MAX_SAFE_INTEGER;
	if (exclusiveMinimum !== undefined) {
		return `${type} above ${exclusiveMinimum}${hasMaximum ? `, at most ${maximum}` : ''}`;
	}

	const hasMinimum = minimum !== undefined && minimum !== Number.MIN_SAFE_INTEGER;
	return `${type}${hasMinimum ? ` from ${minimum}` : ''}${hasMaximum ? ` to ${maximum}` : ''}`;
}

function getUnit(name: string): string {
	return unitsBySuffix.find(([suffix]) => name.endsWith(suffix))?.[1] ?? '';
}

function formatDefault(value: unknown): string {
	return Array.isArray(value) ? value.join(', ') : String(value);
}
