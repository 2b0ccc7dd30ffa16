import assert from 'node:assert/strict';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {
	TextChecksum, checksumText, digestText, formatCursor, parseCursor,
} from './cursor.ts';

const cursor = fastCheck.record({
	generation: fastCheck.uuid(),
	attempt: fastCheck.nat(),
	index: fastCheck.nat(),
	endpoint: fastCheck.constant('127.0.0.1:9000'),
	model: fastCheck.record({name: fastCheck.string(), version: fastCheck.string(), adapter: fastCheck.string()}, {requiredKeys: ['name', 'version'], noNullPrototype: true}),
	textChecksum: fastCheck.string().map(text => checksumText(text)),
}, {noNullPrototype: true});
const scope = {workspace: 'brushwake', requestDigest: digestText('request')};

test('parsing a formatted cursor returns the original', () => {
	fastCheck.assert(fastCheck.property(cursor, value => {
		const text = formatCursor(value, scope, 'key');
		assert.deepEqual(parseCursor(text, scope, ['newer key', 'key'])._unsafeUnwrap(), value);
	}), {seed: 1});
});

test('a cursor signed for another workspace or request, or with another key, is refused', () => {
	const text = formatCursor({
		generation: 'g', attempt: 1, index: 2, endpoint: 'e', model: {name: 'm', version: 'v'}, textChecksum: 'c',
	}, scope, 'key');
	assert.ok(parseCursor(text, {...scope, workspace: 'other'}, ['key']).isErr());
	assert.ok(parseCursor(text, {...scope, requestDigest: 'other'}, ['key']).isErr());
	assert.ok(parseCursor(text, scope, ['other']).isErr());
});

test('arbitrary text is refused as a cursor', () => {
	fastCheck.assert(fastCheck.property(fastCheck.string(), text => parseCursor(text, scope, ['key']).isErr()), {seed: 2});
});

test('an incremental checksum equals that of the whole text, however the text is split', () => {
	fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.string({unit: 'grapheme'})), parts => {
		const running = new TextChecksum();
		for (const part of parts) {
			running.add(part);
			running.value();
		}

		assert.equal(running.value(), checksumText(parts.join('')));
	}), {seed: 3});
});
