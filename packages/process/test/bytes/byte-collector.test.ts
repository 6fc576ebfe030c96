import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createByteCollector} from '../../src/index.js';

describe('createByteCollector', () => {
	it('returns the bytes of all chunks in their order', () => {
		fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 40_000}), {maxLength: 20}), chunks => {
			const collector = createByteCollector();
			for (const chunk of chunks) {
				const capacity = collector.getCapacityFor(chunk.length);
				collector.add(chunk);
				assert.equal(collector.getCapacity(), capacity);
			}

			assert.deepEqual(Buffer.from(collector.takeBytes()), Buffer.concat(chunks));
			assert.deepEqual([collector.getSize(), collector.getCapacity()], [0, 0]);
		}));
	});

	// Guards against one object for each chunk, which takes a hundred times the memory of a chunk of one byte.
	it('allocates little more than the bytes of many small chunks', () => {
		const collector = createByteCollector();
		for (let count = 0; count < 200_000; count++) {
			collector.add(new Uint8Array([1]));
		}

		assert.ok(collector.getCapacity() <= 200_000 + 65_536);
	});

	// Guards against bytes of a body that are overwritten by the next one, which uses the same blocks.
	it('returns bytes that later bodies do not change', () => {
		const first = createByteCollector();
		first.add(new Uint8Array(200_000).fill(1));
		const bytes = first.takeBytes();
		const second = createByteCollector();
		second.add(new Uint8Array(200_000).fill(2));
		assert.ok(bytes.every(byte => byte === 1));
	});
});
