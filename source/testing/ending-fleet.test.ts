import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {EndingFleet} from './ending-fleet.ts';

/** Sockets of this process that listen. */
function countServers(): number {
	return process.getActiveResourcesInfo().filter(name => name === 'TCPServerWrap').length;
}

test('a fleet that cannot start leaves nothing that keeps its test from ending', async () => {
	const before = countServers();
	await assert.rejects(EndingFleet.create({
		service: 'desk', gateways: 2, workers: 2, bounds: {leavingMilliseconds: -1},
	}), /takes requests/v);
	assert.equal(countServers(), before);
});
