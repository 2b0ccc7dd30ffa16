import assert from 'node:assert/strict';
import {test} from 'node:test';
import {takeLoopbackAddress} from '../testing/loopback-address.ts';
import {StoreStandIn} from '../testing/stand-ins/store-stand-in.ts';
import {StoreClient} from './store-client.ts';

test('readPrefix returns only rows whose keys start with the prefix, and the time of the store', async () => {
	const address = `${takeLoopbackAddress()}:7000`;
	const standIn = await StoreStandIn.start(address);
	const store = new StoreClient({address});
	for (const key of ['desk/0', 'desk/15', 'desk', 'desk-b/0', 'desk0', 'scribe/0']) {
		standIn.put('retry-slack', key, key);
	}

	standIn.put('other', 'desk/0', 'of another table');
	const read = await store.readPrefix('retry-slack', 'desk/');
	const {rows, storeMilliseconds} = read._unsafeUnwrap();
	assert.deepEqual(rows.map(({key, content}) => [key, new TextDecoder().decode(content)]), [['desk/0', 'desk/0'], ['desk/15', 'desk/15']]);
	assert.equal(typeof storeMilliseconds, 'number');
	store.close();
	standIn.close();
});

test('a write whose condition meets a version that was given out again is not taken for done', async context => {
	const address = `${takeLoopbackAddress()}:7000`;
	const standIn = await StoreStandIn.start(address);
	const store = new StoreClient({address});
	context.after(() => {
		store.close();
		standIn.close();
	});
	const copy = standIn.copy();
	standIn.put('ledgers', 'desk', 'first');
	const read = await store.readRow('ledgers', 'desk');
	const {revision} = read._unsafeUnwrap().rows[0]!;
	standIn.restore(copy);
	standIn.put('ledgers', 'desk', 'of the next era');
	const written = await store.writeRow({
		table: 'ledgers', key: 'desk', content: 'second', expectedRevision: revision,
	});
	assert.equal(written._unsafeUnwrapErr().kind, 'unknown');
});
