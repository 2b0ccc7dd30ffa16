import assert from 'node:assert/strict';
import {test} from 'node:test';
import {err, ok} from 'neverthrow';
import {createLogger} from '../../telemetry/mod.ts';
import {BlockedRequests} from './blocked-requests.ts';
import {SuspectMonitor, type SuspectMonitorOptions} from './suspect-monitor.ts';
import {Suspects} from './suspects.ts';
import {EndpointClaims} from './endpoint-claims.ts';

type Load = SuspectMonitorOptions['engines']['load'];

const unreachable = (connectionRefused: boolean): Awaited<ReturnType<Load>> => err({kind: 'unreachable', message: 'gone', connectionRefused});

function createMonitor(load: Load = async () => unreachable(true)) {
	const logger = createLogger('test', {level: 'silent'});
	const wallClock = () => 1000;
	const platform = {
		transact: async () => ok({kind: 'committed' as const}),
		read: async () => ok([]),
		list: async () => ok([]),
	};
	const suspects = new Suspects({locationOf: address => ({host: address, availabilityZone: address})});
	const blockedRequests = new BlockedRequests({
		platform, suspects, logger, wallClock, random: () => 0,
	});
	return {
		suspects,
		monitor: new SuspectMonitor({
			suspects,
			blockedRequests,
			logger,
			wallClock,
			claims: new EndpointClaims({platform, wallClock}),
			engines: {load},
			endpointsOf: () => ['one', 'two', 'three'],
		}),
	};
}

test('the same crash is not counted twice when the crashed endpoint is contacted again', async () => {
	const {monitor, suspects} = createMonitor();
	const monitored = monitor.monitor('digest', 'briefs');
	monitored.recordAttemptStart('one', 'start');
	await monitored.recordAttemptEnd('one', {step: 'start', kind: 'lost'});
	monitored.recordAttemptStart('one', 'resume');
	await monitored.recordAttemptEnd('one', {step: 'resume', kind: 'unreachable', connectionRefused: true});
	monitored.recordAttemptStart('two', 'start');
	await monitored.recordAttemptEnd('two', {step: 'start', kind: 'unreachable', connectionRefused: true});
	monitored.recordAttemptStart('one', 'resume');
	await monitored.recordAttemptEnd('one', {step: 'resume', kind: 'unreachable', connectionRefused: true});
	assert.equal(suspects.isSuspect('digest', 1000), true);
	assert.equal(suspects.millisecondsUntilDecision('digest', 1000), undefined);
});

test('a silent or reset connection to a running process is not a crash, an unknown generation is one', async () => {
	const {monitor, suspects} = createMonitor();
	const silent = monitor.monitor('silent', 'briefs');
	silent.recordAttemptStart('one', 'start');
	await silent.recordAttemptEnd('one', {step: 'start', kind: 'silent'});
	silent.recordAttemptStart('one', 'resume');
	await silent.recordAttemptEnd('one', {step: 'resume', kind: 'unreachable', reset: true});
	assert.equal(suspects.isSuspect('silent', 1000), false);
	const forgotten = monitor.monitor('forgotten', 'briefs');
	forgotten.recordAttemptStart('two', 'start');
	await forgotten.recordAttemptEnd('two', {step: 'start', kind: 'lost'});
	forgotten.recordAttemptStart('two', 'resume');
	await forgotten.recordAttemptEnd('two', {step: 'resume', kind: 'refused', forgotten: true});
	assert.equal(suspects.isSuspect('forgotten', 1000), true);
});

test('a start that ends in a reset counts as a crash if the process has exited', async () => {
	const {monitor, suspects} = createMonitor();
	const monitored = monitor.monitor('digest', 'briefs');
	monitored.recordAttemptStart('one', 'start');
	await monitored.recordAttemptEnd('one', {step: 'start', kind: 'unreachable', reset: true});
	assert.equal(suspects.isSuspect('digest', 1000), true);
});

test('a lost stream followed by a reset from an endpoint that is still exiting counts as a crash once the process has exited', async () => {
	const answers = [unreachable(false), unreachable(true)];
	const {monitor, suspects} = createMonitor(async () => answers.shift()!);
	const monitored = monitor.monitor('digest', 'briefs');
	monitored.recordAttemptStart('one', 'start');
	await monitored.recordAttemptEnd('one', {step: 'start', kind: 'lost'});
	monitored.recordAttemptStart('one', 'resume');
	await monitored.recordAttemptEnd('one', {step: 'resume', kind: 'unreachable', reset: true});
	assert.equal(suspects.isSuspect('digest', 1000), true);
	const other = createMonitor(async () => unreachable(false));
	const running = other.monitor.monitor('running', 'briefs');
	running.recordAttemptStart('one', 'start');
	await running.recordAttemptEnd('one', {step: 'start', kind: 'lost'});
	running.recordAttemptStart('one', 'resume');
	await running.recordAttemptEnd('one', {step: 'resume', kind: 'unreachable', reset: true});
	assert.equal(other.suspects.isSuspect('running', 1000), false);
});

test('a cursor that names an endpoint whose crash is already counted against the request is no evidence of a second crash', async () => {
	const {monitor, suspects} = createMonitor();
	for (const returning of [monitor.monitor('digest', 'briefs'), monitor.monitor('digest', 'briefs')]) {
		returning.recordAttemptStart('one', 'resume');
		await returning.recordAttemptEnd('one', {step: 'resume', kind: 'unreachable', connectionRefused: true});
		returning.close();
	}

	assert.equal(suspects.isSuspect('digest', 1000), true);
	assert.equal(suspects.millisecondsUntilDecision('digest', 1000), undefined);
});
