import assert from 'node:assert/strict';
import {test} from 'node:test';
import {err, ok} from 'neverthrow';
import {createLogger} from '../../telemetry/mod.ts';
import {RefusedRequests} from './refused-requests.ts';
import {SuspectWatch, type SuspectWatchOptions} from './suspect-watch.ts';
import {Suspects} from './suspects.ts';
import {TrialClaims} from './trial-claims.ts';

type Load = SuspectWatchOptions['engines']['load'];

const unreachable = (connectionRefused: boolean): Awaited<ReturnType<Load>> => err({kind: 'unreachable', message: 'gone', connectionRefused});

function createWatch(load: Load = async () => unreachable(true)) {
	const logger = createLogger('test', {level: 'silent'});
	const wallClock = () => 1000;
	const platform = {
		transact: async () => ok({kind: 'committed' as const}),
		read: async () => ok([]),
		list: async () => ok([]),
	};
	const suspects = new Suspects({placeOf: address => ({host: address, availabilityZone: address})});
	const refused = new RefusedRequests({
		platform, suspects, logger, wallClock, random: () => 0,
	});
	return {
		suspects,
		watch: new SuspectWatch({
			suspects,
			refused,
			logger,
			wallClock,
			claims: new TrialClaims({platform, wallClock}),
			engines: {load},
			endpointsOf: () => ['one', 'two', 'three'],
		}),
	};
}

test('the same death is not counted twice when the dead endpoint is asked again', async () => {
	const {watch, suspects} = createWatch();
	const trial = watch.follow('digest', 'briefs');
	trial.attempting('one', 'start');
	await trial.attempted('one', {step: 'start', kind: 'lost'});
	trial.attempting('one', 'resume');
	await trial.attempted('one', {step: 'resume', kind: 'unreachable', connectionRefused: true});
	trial.attempting('two', 'start');
	await trial.attempted('two', {step: 'start', kind: 'unreachable', connectionRefused: true});
	trial.attempting('one', 'resume');
	await trial.attempted('one', {step: 'resume', kind: 'unreachable', connectionRefused: true});
	assert.equal(suspects.isSuspect('digest', 1000), true);
	assert.equal(suspects.millisecondsUntilSettled('digest', 1000), undefined);
});

test('a silent or reset connection to a process that goes on is no death, a forgotten generation is one', async () => {
	const {watch, suspects} = createWatch();
	const silent = watch.follow('silent', 'briefs');
	silent.attempting('one', 'start');
	await silent.attempted('one', {step: 'start', kind: 'silent'});
	silent.attempting('one', 'resume');
	await silent.attempted('one', {step: 'resume', kind: 'unreachable', reset: true});
	assert.equal(suspects.isSuspect('silent', 1000), false);
	const forgotten = watch.follow('forgotten', 'briefs');
	forgotten.attempting('two', 'start');
	await forgotten.attempted('two', {step: 'start', kind: 'lost'});
	forgotten.attempting('two', 'resume');
	await forgotten.attempted('two', {step: 'resume', kind: 'refused', forgotten: true});
	assert.equal(suspects.isSuspect('forgotten', 1000), true);
});

test('a start that ends in a reset counts as a death when the process is gone', async () => {
	const {watch, suspects} = createWatch();
	const trial = watch.follow('digest', 'briefs');
	trial.attempting('one', 'start');
	await trial.attempted('one', {step: 'start', kind: 'unreachable', reset: true});
	assert.equal(suspects.isSuspect('digest', 1000), true);
});

test('a stream that is lost, and then reset at an endpoint that is still ending, counts as a death once its process is gone', async () => {
	const answers = [unreachable(false), unreachable(true)];
	const {watch, suspects} = createWatch(async () => answers.shift()!);
	const trial = watch.follow('digest', 'briefs');
	trial.attempting('one', 'start');
	await trial.attempted('one', {step: 'start', kind: 'lost'});
	trial.attempting('one', 'resume');
	await trial.attempted('one', {step: 'resume', kind: 'unreachable', reset: true});
	assert.equal(suspects.isSuspect('digest', 1000), true);
	const other = createWatch(async () => unreachable(false));
	const going = other.watch.follow('going', 'briefs');
	going.attempting('one', 'start');
	await going.attempted('one', {step: 'start', kind: 'lost'});
	going.attempting('one', 'resume');
	await going.attempted('one', {step: 'resume', kind: 'unreachable', reset: true});
	assert.equal(other.suspects.isSuspect('going', 1000), false);
});

test('a cursor that names an endpoint already held against the request shows no second death', async () => {
	const {watch, suspects} = createWatch();
	for (const returning of [watch.follow('digest', 'briefs'), watch.follow('digest', 'briefs')]) {
		returning.attempting('one', 'resume');
		await returning.attempted('one', {step: 'resume', kind: 'unreachable', connectionRefused: true});
		returning.close();
	}

	assert.equal(suspects.isSuspect('digest', 1000), true);
	assert.equal(suspects.millisecondsUntilSettled('digest', 1000), undefined);
});
