import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {exploreScenarios} from './mod.ts';

/** Seeds of the schedules that CI runs; `npm run explore` runs others. */
const seeds = [1, 2, 3];

/** Schedules drawn from each seed. */
const runs = 2;

describe('exploration', {concurrency: seeds.length}, () => {
	for (const seed of seeds) {
		it(`generations outlive the fault schedules of seed ${seed}`, async () => {
			const {failure} = await exploreScenarios({seed, runs, timeoutMilliseconds: 100_000});
			assert.equal(failure, undefined, failure && `${failure.message}\n${JSON.stringify(failure.scenario)}`);
		});
	}
});
