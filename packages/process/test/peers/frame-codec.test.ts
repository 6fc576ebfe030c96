import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {PeerMessage} from '@camphortack/core';
import {createFrameReader, encodeFrame, FrameError} from '../../src/peers/frame-codec.js';

describe('createFrameReader', () => {
	it('decodes the encoded messages regardless of how the bytes are split into chunks', () => {
		const messages = fc.array(fc.record({kind: fc.string({maxLength: 20}), value: fc.jsonValue()}), {minLength: 1, maxLength: 10});
		fc.assert(fc.property(messages, fc.integer({min: 1, max: 50}), (sent, chunkBytes) => {
			const received: PeerMessage[] = [];
			const reader = createFrameReader({
				onMessage(message) {
					received.push(message);
				},
			});
			const bytes = sent.flatMap(message => [...encodeFrame(message)]);
			for (let start = 0; start < bytes.length; start += chunkBytes) {
				reader.addChunk(Uint8Array.from(bytes.slice(start, start + chunkBytes)));
			}

			assert.equal(JSON.stringify(received), JSON.stringify(sent));
		}), {seed: 1});
	});

	it('throws only FrameError for arbitrary bytes', () => {
		fc.assert(fc.property(fc.uint8Array({maxLength: 200}), bytes => {
			const reader = createFrameReader({onMessage: () => undefined, maxFrameBytes: 64});
			try {
				reader.addChunk(bytes);
			} catch (error) {
				assert.ok(error instanceof FrameError);
			}
		}), {seed: 2, numRuns: 500});
	});

	// Guards against frames whose length is stated and whose bytes arrive one by one, each as an object of its own.
	it('takes little more memory for an incomplete frame than its bytes, and none after it', () => {
		const sizes: number[] = [];
		const reader = createFrameReader({
			onMessage: () => undefined,
			reserve(sizeBytes) {
				sizes.push(sizeBytes);
				return true;
			},
		});
		for (const byte of encodeFrame({kind: 'test', text: 'a'.repeat(100_000)})) {
			reader.addChunk(new Uint8Array([byte]));
		}

		assert.ok(Math.max(...sizes) < 170_000);
		assert.equal(sizes.at(-1), 0);
	});

	it('rejects a frame for which there is no memory', () => {
		const reader = createFrameReader({onMessage: () => undefined, reserve: sizeBytes => sizeBytes < 10_000});
		assert.throws(() => {
			reader.addChunk(encodeFrame({kind: 'test', text: 'a'.repeat(100_000)}).subarray(0, 50_000));
		}, FrameError);
	});

	const rows: Array<{name: string; bytes: number[]}> = [
		{name: 'an empty frame', bytes: [0, 0, 0, 0]},
		{name: 'a frame that exceeds the maximum length', bytes: [255, 255, 255, 255]},
		{name: 'a frame that is not valid CBOR', bytes: [0, 0, 0, 2, 255, 255]},
		{name: 'a message without a kind', bytes: [0, 0, 0, 1, 0xA0]},
	];
	for (const {name, bytes} of rows) {
		it(`rejects ${name}`, () => {
			const reader = createFrameReader({onMessage: () => undefined});
			assert.throws(() => {
				reader.addChunk(Uint8Array.from(bytes));
			}, FrameError);
		});
	}
});
