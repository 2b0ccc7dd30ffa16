import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LoadTracker, type ServiceLoad} from './load-tracker.ts';

test('a load is sent to a peer only once it has changed by the radius since it was last sent', () => {
	const loads = new LoadTracker();
	const sent = new Map<string, ServiceLoad>();
	const first = loads.recordStart('briefs', 100);
	assert.deepEqual(loads.collectChanges(sent, 256), [{service: 'briefs', requests: 1, tokens: 100}]);
	const second = loads.recordStart('briefs', 200);
	assert.deepEqual(loads.collectChanges(sent, 256), []);
	const third = loads.recordStart('briefs', 56);
	assert.deepEqual(loads.collectChanges(sent, 256), [{service: 'briefs', requests: 3, tokens: 356}]);
	second();
	third();
	assert.deepEqual(loads.collectChanges(new Map(sent), 256), [{service: 'briefs', requests: 1, tokens: 100}]);
	first();
	first();
	assert.deepEqual(loads.collectChanges(sent, 100_000), [{service: 'briefs', requests: 0, tokens: 0}]);
	assert.deepEqual(loads.collectChanges(sent, 0), [{service: 'briefs', requests: 0, tokens: 0}]);
});
