import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {it} from 'node:test';
import {getFields} from '../../src/fields/field.js';
import {getConfigurationPage, objectKinds, settingsSchema} from '../../src/index.js';

it('docs/CONFIGURATION.md is up to date with the schemas', () => {
	const page = readFileSync(new URL('../../../../docs/CONFIGURATION.md', import.meta.url), 'utf8');
	assert.equal(page, getConfigurationPage());
});

it('every key has a description', () => {
	const schemas = [...objectKinds.map(({schema}) => schema), ...Object.values(settingsSchema.shape)];
	const undescribed = schemas.flatMap(schema => getFields(schema)).filter(field => field.description === '');
	assert.deepEqual(undescribed.map(field => field.key), []);
});
