import assert from 'node:assert/strict';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {type Crash, type Run} from './crashes.ts';
import {
	Suspects, blockDelayMilliseconds, harmlessTokens, neighborCheckDelayMilliseconds,
} from './suspects.ts';

const zones = ['zone-a', 'zone-b', 'zone-c', 'zone-d'];
const endpoints = Array.from({length: 24}, (_, index) => `endpoint-${index}`);
const locationOf = (address: string) => {
	const number = Number(address.split('-')[1]);
	return {host: `host-${number}`, availabilityZone: zones[number % zones.length]!};
};

/** Simulates a small fleet in which each request produces one token per step and a poison request crashes its endpoint at its third token. */
class SimulatedFleet {
	now = 0;
	readonly suspects = new Suspects({locationOf});
	readonly running = new Map<string, {run: Run; tokensLeft: number}>();
	readonly waiting = new Map<string, number>();
	readonly poisonCrashes: Array<{digest: string; endpoint: string; at: number}> = [];
	readonly crashes: Array<{crash: Crash; at: number}> = [];
	readonly blocked = new Set<string>();
	/** Times at which crashed endpoints are available again. */
	readonly downUntil = new Map<string, number>();

	submit(digest: string, tokens: number): void {
		if (!this.running.has(digest) && !this.blocked.has(digest)) {
			this.waiting.set(digest, tokens);
		}
	}

	step(choose: (count: number) => number): void {
		this.now += 50;
		for (const {crash} of this.crashes.filter(({at}) => at + neighborCheckDelayMilliseconds === this.now)) {
			this.checkNeighbors(crash);
		}

		for (const [digest, tokens] of this.waiting) {
			this.startOnEndpoint(digest, tokens, choose);
		}

		for (const [digest, state] of this.running) {
			state.tokensLeft -= 1;
			this.suspects.recordToken(state.run);
			if (digest.startsWith('poison') && state.run.tokens === 3) {
				this.poisonCrashes.push({digest, endpoint: state.run.endpoint, at: this.now});
				this.crash(state.run.endpoint);
			} else if (state.tokensLeft <= 0) {
				this.suspects.endRun(state.run);
				this.running.delete(digest);
			}
		}
	}

	checkNeighbors(crash: Crash): void {
		const alive = new Set(this.alive());
		const {host, zone} = this.suspects.neighbors(crash, endpoints);
		crash.correlated = [host, zone].some(group => group.length > 0 && !group.some(endpoint => alive.has(endpoint)));
	}

	alive(): string[] {
		return endpoints.filter(endpoint => (this.downUntil.get(endpoint) ?? 0) <= this.now);
	}

	startOnEndpoint(digest: string, tokens: number, choose: (count: number) => number): void {
		if (this.suspects.isBlocked(digest, this.now)) {
			this.blocked.add(digest);
			this.waiting.delete(digest);
			return;
		}

		if (this.suspects.millisecondsUntilDecision(digest, this.now) !== undefined) {
			return;
		}

		const allowed = this.suspects.exclusions(digest, () => endpoints, this.now).map(avoided => this.alive().filter(endpoint => !avoided.has(endpoint))).find(list => list.length > 0);
		if (allowed) {
			this.waiting.delete(digest);
			this.running.set(digest, {run: this.suspects.startRun(digest, allowed[choose(allowed.length)]!), tokensLeft: tokens});
		}
	}

	crash(endpoint: string): void {
		this.downUntil.set(endpoint, this.now + 5000);
		for (const [digest, {run, tokensLeft}] of [...this.running].filter(([, state]) => state.run.endpoint === endpoint)) {
			const crash = this.suspects.recordCrash(run, this.now);
			if (crash) {
				this.crashes.push({crash, at: this.now});
			}

			this.running.delete(digest);
			this.waiting.set(digest, tokensLeft);
		}
	}
}

const schedule = fastCheck.record({
	poisons: fastCheck.integer({min: 0, max: 3}),
	arrivals: fastCheck.array(fastCheck.record({step: fastCheck.nat(150), tokens: fastCheck.integer({min: 5, max: 100})}), {maxLength: 30}),
	zoneLosses: fastCheck.array(fastCheck.nat(150), {maxLength: 2}),
	choices: fastCheck.infiniteStream(fastCheck.nat(1000)),
});

test('in random schedules no harmless request is blocked and each poison request crashes at most two endpoints', () => {
	fastCheck.assert(fastCheck.property(schedule, ({poisons, arrivals, zoneLosses, choices}) => {
		const fleet = new SimulatedFleet();
		const choose = (count: number) => choices.next().value! % count;
		for (let step = 0; step < 300; step += 1) {
			for (const [index, arrival] of arrivals.entries()) {
				if (arrival.step === step) {
					fleet.submit(`harmless-${index}`, arrival.tokens);
				}
			}

			for (let poison = 0; poison < (step % 10 === 0 ? poisons : 0); poison += 1) {
				fleet.submit(`poison-${poison}`, 50);
			}

			const lost = zoneLosses.indexOf(step);
			if (lost !== -1) {
				for (const endpoint of endpoints.filter(address => locationOf(address).availabilityZone === zones[lost])) {
					fleet.crash(endpoint);
				}
			}

			fleet.step(choose);
		}

		assert.ok([...fleet.blocked].every(digest => digest.startsWith('poison')), 'a harmless request was blocked');
		// A crash at the time when a whole zone is lost is counted against no request, so it is left out.
		const lossTimes = zoneLosses.map(step => (step + 1) * 50);
		const counted = fleet.poisonCrashes.filter(({at}) => lossTimes.every(lossAt => Math.abs(at - lossAt) > neighborCheckDelayMilliseconds));
		for (let poison = 0; poison < poisons; poison += 1) {
			const poisonCrashes = counted.filter(({digest}) => digest === `poison-${poison}`).length;
			assert.ok(poisonCrashes <= 2, JSON.stringify(fleet.poisonCrashes));
		}

		assert.equal(fleet.blocked.size, poisons);
	}), {seed: 31, numRuns: 300});
});

test('a request is blocked after a second crash with it as the only suspect, and requests that shared its endpoint are cleared', () => {
	const suspects = new Suspects({locationOf});
	const [poison, harmless] = ['poison', 'harmless'].map(digest => suspects.startRun(digest, 'endpoint-0'));
	suspects.recordCrash(poison!, 0);
	suspects.recordCrash(harmless!, 0);
	assert.ok(suspects.isSuspect('poison', 1) && suspects.isSuspect('harmless', 1));
	const retried = suspects.startRun('poison', 'endpoint-1');
	assert.ok(suspects.exclusions('harmless', () => endpoints, 1).every(avoided => avoided.has('endpoint-1')));
	suspects.recordCrash(retried, 100);
	assert.equal(suspects.isBlocked('poison', 200), false);
	assert.equal(suspects.isBlocked('poison', 100 + blockDelayMilliseconds), true);
	const moved = suspects.startRun('harmless', 'endpoint-2');
	for (let token = 0; token < harmlessTokens; token += 1) {
		suspects.recordToken(moved);
	}

	assert.equal(suspects.exclusions('other', () => endpoints, 2000)[0]!.size, 0);
});

test('the loss of a whole zone, or the exit of an endpoint that is leaving, makes no request suspect', () => {
	const suspects = new Suspects({locationOf: address => address === 'leaving' ? undefined : locationOf(address)});
	const crash = suspects.recordCrash(suspects.startRun('harmless', 'endpoint-0'), 10)!;
	assert.deepEqual(suspects.neighbors(crash, endpoints).zone, ['endpoint-4', 'endpoint-8', 'endpoint-12', 'endpoint-16', 'endpoint-20']);
	assert.ok(suspects.isSuspect('harmless', 11));
	crash.correlated = true;
	assert.equal(suspects.isSuspect('harmless', 11), false);
	assert.equal(suspects.recordCrash(suspects.startRun('other', 'leaving'), 10), undefined);
	assert.equal(suspects.isSuspect('other', 11), false);
});

test('a suspect that has progressed shares its endpoint again', () => {
	const suspects = new Suspects({locationOf});
	suspects.recordCrash(suspects.startRun('harmless', 'endpoint-0'), 0);
	const retried = suspects.startRun('harmless', 'endpoint-1');
	assert.ok(suspects.exclusions('other', () => endpoints, 1)[0]!.has('endpoint-1'));
	for (let token = 0; token < harmlessTokens; token += 1) {
		suspects.recordToken(retried);
	}

	assert.equal(suspects.exclusions('other', () => endpoints, 1)[0]!.has('endpoint-1'), false);
});
