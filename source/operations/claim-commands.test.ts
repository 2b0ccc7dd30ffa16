import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runsOf, sendCall, startCallFleet} from '../testing/call-fleet.ts';
import {Fleet, operatorKey, type ProgramEnd} from '../testing/fleet.ts';

async function operate(fleet: Fleet, ...parameters: string[]): Promise<ProgramEnd> {
	return fleet.runProgram('azuretack-operate', ['--platform', `http://${fleet.process('platform').address}`, ...parameters], {AZURETACK_OPERATOR_KEY: operatorKey});
}

test('an operator settles a claim of unknown outcome as run, and a repeated call is not run again', async () => {
	await using fleet = await Fleet.create();
	await startCallFleet(fleet, {deadlineSeconds: 1, plain: {answerMilliseconds: 5000}});
	const call = await sendCall(fleet, {key: 'refill-1'});
	assert.equal(call.run, 'unknown');
	await fleet.until(async () => {
		const claim = await operate(fleet, 'claim', 'test', 'orders', 'refill-1');
		return /^state +unknown$/mv.test(claim.output);
	}, 'the claim has state unknown');
	const anonymous = await operate(fleet, 'settle', 'test', 'orders', 'refill-1', 'yes');
	assert.equal(anonymous.code, 1);
	const settled = await operate(fleet, '--as', 'ana', 'settle', 'test', 'orders', 'refill-1', 'yes');
	assert.match(settled.output, /^state +ended$[\s\S]*^settled by +ana$/mv, settled.errors);
	await sendCall(fleet, {key: 'refill-1', router: 'router-2'});
	assert.equal(await runsOf(fleet, 'refill-1'), 1);
	const unknown = await operate(fleet, 'claim', 'test', 'orders', 'refill-2');
	assert.equal(unknown.code, 1);
	assert.match(unknown.errors, /there is no claim test\/orders\/refill-2/v);
});

test('a claim in state running is withdrawn only after its router has ended and its deadline has passed', async () => {
	await using fleet = await Fleet.create();
	// Three programs start before the router is killed, and the call must still be running then.
	await startCallFleet(fleet, {deadlineSeconds: 25, plain: {workMilliseconds: 90_000}});
	const calling = sendCall(fleet, {key: 'refill-1', timeoutMilliseconds: 60_000});
	const withdraw = ['--as', 'ana', 'settle', 'test', 'orders', 'refill-1', 'no'];
	await fleet.until(async () => {
		const claim = await operate(fleet, 'claim', 'test', 'orders', 'refill-1');
		return /^state +running$/mv.test(claim.output);
	}, 'the claim has state running');
	const early = await operate(fleet, ...withdraw);
	assert.equal(early.code, 1);
	assert.match(early.errors, /make sure that this process has ended, then add --router-ended/v);
	const wrong = await operate(fleet, ...withdraw, '--router-ended');
	assert.equal(wrong.code, 1);
	assert.match(wrong.errors, /is alive on host router-1/v);
	fleet.signal('router-1', 'SIGKILL');
	const lost = await calling;
	assert.equal(lost.status, 0);
	const soon = await operate(fleet, ...withdraw, '--router-ended');
	assert.equal(soon.code, 1);
	assert.match(soon.errors, /may still end the call/v);
	await fleet.until(async () => {
		const settled = await operate(fleet, ...withdraw, '--router-ended');
		return settled.code === 0 && /^state +withdrawn$/mv.test(settled.output);
	}, 'the claim is withdrawn', 60_000);
	await fleet.control('plain-1', '/control/speed', {workMilliseconds: 0});
	const repeat = await sendCall(fleet, {key: 'refill-1', router: 'router-2'});
	assert.equal(repeat.run, 'yes');
});
