import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {applyToContent, getInverseChanges} from '../../src/content/apply-changes.js';
import {emptyContent} from '../../src/content/configuration-content.js';
import {getChanges} from '../../src/content/get-changes.js';
import {mergeChanges} from '../../src/content/merge-changes.js';
import {getObjectsDigest} from '../../src/content/object-digest.js';
import {createVersionHistory, maxHistoryVersions} from '../../src/content/version-history.js';
import {splitChanges} from '../../src/follower/update-pieces.js';
import {getObjects} from '../support/get-objects.js';

const setArbitrary = fc.tuple(fc.uniqueArray(fc.constantFrom('p', 'q', 'r', 's', 't')), fc.constantFrom(0.1, 0.5, 1)).map(([names, share]) => getObjects(names, share));

describe('changes between sets of objects', () => {
	it('transform a set into the next one, can be reverted, and give the last set when merged', () => {
		fc.assert(fc.property(fc.array(setArbitrary, {minLength: 2, maxLength: 6}), sets => {
			let content = emptyContent;
			const steps = [];
			for (const [index, objects] of sets.entries()) {
				const changes = getChanges(content.objects, objects);
				const inverse = getInverseChanges(content.objects, changes);
				const next = applyToContent(content, index + 1, changes);
				assert.deepEqual(next.objects, objects);
				assert.equal(next.digest, getObjectsDigest(objects));
				assert.deepEqual(applyToContent(next, index, inverse), content);
				steps.push(changes);
				content = next;
			}

			assert.deepEqual(applyToContent(emptyContent, sets.length, mergeChanges(steps)), content);
		}), {numRuns: 200, seed: 11});
	});

	it('are split into pieces that together contain all changes in order', () => {
		const changes = getChanges(emptyContent.objects, getObjects(Array.from({length: 2000}, (_, index) => `pool-${index}`)));
		const pieces = splitChanges(changes);
		assert.ok(pieces.length > 1);
		assert.deepEqual(pieces.flat(), changes);
	});
});

describe('createVersionHistory', () => {
	it('retains only the most recent versions', () => {
		const history = createVersionHistory();
		for (let version = 1; version <= maxHistoryVersions + 10; version++) {
			const emptyChanges = {digest: 0, changes: [], inverse: []};
			history.addVersion({
				version,
				publishId: `publish-${version}`,
				author: 'anna',
				sizeBytes: 10,
				...emptyChanges,
			});
		}

		assert.equal(history.getRecords().length, maxHistoryVersions);
		assert.equal(history.findVersion(10), undefined);
		assert.equal(history.findVersion(11)?.publishId, 'publish-11');
		assert.equal(history.findPublish('publish-10'), undefined);
		assert.equal(history.findChangesBetween(5, 20), undefined);
		assert.deepEqual(history.findChangesBetween(20, 30), []);
	});
});
