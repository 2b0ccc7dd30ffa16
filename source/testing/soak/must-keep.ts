/**
 * Plays a schedule in a test.
 *
 * @module
 */
import assert from 'node:assert/strict';
import {type SoakPlan} from './plan.ts';
import {playSoak} from './soak.ts';

/** Plays a schedule, and fails with the story of the finding if a promise is broken. */
export async function mustKeep(plan: SoakPlan): Promise<void> {
	const {finding, requests, served} = await playSoak(plan, {report: () => undefined});
	assert.equal(finding, undefined, finding && `${finding.check}: ${finding.message}\n${finding.story.join('\n')}`);
	assert.ok(requests > 100);
	assert.ok(served > 0);
}
