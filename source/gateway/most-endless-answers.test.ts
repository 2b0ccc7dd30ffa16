import assert from 'node:assert/strict';
import {test} from 'node:test';
import {endlessRequests, playEndlessAnswers} from '../testing/endless-load.ts';

/** Number of concurrent requests: the connections that the smallest host allows. */
const concurrentRequests = 900;

for (const [name, {service, request}] of Object.entries(endlessRequests)) {
	test(`${concurrentRequests} times ${name} with a body without an end at once: neither is the memory used up nor does one look complete, and others are served`, async () => {
		assert.deepEqual(await playEndlessAnswers({
			fault: 'endless-body', count: concurrentRequests, service, request,
		}), []);
	});
}
