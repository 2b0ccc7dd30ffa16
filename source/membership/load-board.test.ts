import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LoadBoard, type ServiceLoad} from './load-board.ts';

test('a peer is told a load only once it has moved by the radius since that peer was told', () => {
	const loads = new LoadBoard();
	const told = new Map<string, ServiceLoad>();
	const first = loads.start('briefs', 100);
	assert.deepEqual(loads.changes(told, 256), [{service: 'briefs', requests: 1, tokens: 100}]);
	const second = loads.start('briefs', 200);
	assert.deepEqual(loads.changes(told, 256), []);
	const third = loads.start('briefs', 56);
	assert.deepEqual(loads.changes(told, 256), [{service: 'briefs', requests: 3, tokens: 356}]);
	second();
	third();
	assert.deepEqual(loads.changes(new Map(told), 256), [{service: 'briefs', requests: 1, tokens: 100}]);
	first();
	first();
	assert.deepEqual(loads.changes(told, 100_000), [{service: 'briefs', requests: 0, tokens: 0}]);
	assert.deepEqual(loads.changes(told, 0), [{service: 'briefs', requests: 0, tokens: 0}]);
});
