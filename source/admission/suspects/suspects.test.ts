import assert from 'node:assert/strict';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {type Death, type Run} from './deaths.ts';
import {
	Suspects, convictionMilliseconds, harmlessTokens, lookMilliseconds,
} from './suspects.ts';

const zones = ['zone-a', 'zone-b', 'zone-c', 'zone-d'];
const endpoints = Array.from({length: 24}, (_, index) => `endpoint-${index}`);
const placeOf = (address: string) => {
	const number = Number(address.split('-')[1]);
	return {host: `host-${number}`, availabilityZone: zones[number % zones.length]!};
};

/** A small fleet in which each request produces one token a step, and poison kills its endpoint at its third token. */
class World {
	now = 0;
	readonly suspects = new Suspects({placeOf});
	readonly running = new Map<string, {run: Run; left: number}>();
	readonly waiting = new Map<string, number>();
	readonly kills: Array<{digest: string; endpoint: string; at: number}> = [];
	readonly deaths: Array<{death: Death; at: number}> = [];
	readonly refused = new Set<string>();
	/** Times at which dead endpoints come back. */
	readonly downUntil = new Map<string, number>();

	ask(digest: string, tokens: number): void {
		if (!this.running.has(digest) && !this.refused.has(digest)) {
			this.waiting.set(digest, tokens);
		}
	}

	step(choose: (count: number) => number): void {
		this.now += 50;
		for (const {death} of this.deaths.filter(({at}) => at + lookMilliseconds === this.now)) {
			this.look(death);
		}

		for (const [digest, tokens] of this.waiting) {
			this.place(digest, tokens, choose);
		}

		for (const [digest, state] of this.running) {
			state.left -= 1;
			this.suspects.progressed(state.run);
			if (digest.startsWith('poison') && state.run.tokens === 3) {
				this.kills.push({digest, endpoint: state.run.endpoint, at: this.now});
				this.kill(state.run.endpoint);
			} else if (state.left <= 0) {
				this.suspects.end(state.run);
				this.running.delete(digest);
			}
		}
	}

	look(death: Death): void {
		const alive = new Set(this.alive());
		const {host, zone} = this.suspects.witnesses(death, endpoints);
		death.common = [host, zone].some(group => group.length > 0 && !group.some(endpoint => alive.has(endpoint)));
	}

	alive(): string[] {
		return endpoints.filter(endpoint => (this.downUntil.get(endpoint) ?? 0) <= this.now);
	}

	place(digest: string, tokens: number, choose: (count: number) => number): void {
		if (this.suspects.isConvicted(digest, this.now)) {
			this.refused.add(digest);
			this.waiting.delete(digest);
			return;
		}

		if (this.suspects.millisecondsUntilSettled(digest, this.now) !== undefined) {
			return;
		}

		const allowed = this.suspects.avoidance(digest, () => endpoints, this.now).map(avoided => this.alive().filter(endpoint => !avoided.has(endpoint))).find(list => list.length > 0);
		if (allowed) {
			this.waiting.delete(digest);
			this.running.set(digest, {run: this.suspects.start(digest, allowed[choose(allowed.length)]!), left: tokens});
		}
	}

	kill(endpoint: string): void {
		this.downUntil.set(endpoint, this.now + 5000);
		for (const [digest, {run, left}] of [...this.running].filter(([, state]) => state.run.endpoint === endpoint)) {
			const death = this.suspects.died(run, this.now);
			if (death) {
				this.deaths.push({death, at: this.now});
			}

			this.running.delete(digest);
			this.waiting.set(digest, left);
		}
	}
}

const schedule = fastCheck.record({
	poisons: fastCheck.integer({min: 0, max: 3}),
	arrivals: fastCheck.array(fastCheck.record({step: fastCheck.nat(150), tokens: fastCheck.integer({min: 5, max: 100})}), {maxLength: 30}),
	zoneLosses: fastCheck.array(fastCheck.nat(150), {maxLength: 2}),
	choices: fastCheck.infiniteStream(fastCheck.nat(1000)),
});

test('in random schedules no innocent is convicted and each poison takes at most two endpoints', () => {
	fastCheck.assert(fastCheck.property(schedule, ({poisons, arrivals, zoneLosses, choices}) => {
		const world = new World();
		const choose = (count: number) => choices.next().value! % count;
		for (let step = 0; step < 300; step += 1) {
			for (const [index, arrival] of arrivals.entries()) {
				if (arrival.step === step) {
					world.ask(`innocent-${index}`, arrival.tokens);
				}
			}

			for (let poison = 0; poison < (step % 10 === 0 ? poisons : 0); poison += 1) {
				world.ask(`poison-${poison}`, 50);
			}

			const lost = zoneLosses.indexOf(step);
			if (lost !== -1) {
				for (const endpoint of endpoints.filter(address => placeOf(address).availabilityZone === zones[lost])) {
					world.kill(endpoint);
				}
			}

			world.step(choose);
		}

		assert.ok([...world.refused].every(digest => digest.startsWith('poison')), 'an innocent was convicted');
		// A death in the moment in which a whole zone is lost accuses nobody, so it is not counted.
		const lossTimes = zoneLosses.map(step => (step + 1) * 50);
		const counted = world.kills.filter(({at}) => lossTimes.every(lossAt => Math.abs(at - lossAt) > lookMilliseconds));
		for (let poison = 0; poison < poisons; poison += 1) {
			const kills = counted.filter(({digest}) => digest === `poison-${poison}`).length;
			assert.ok(kills <= 2, JSON.stringify(world.kills));
		}

		assert.equal(world.refused.size, poisons);
	}), {seed: 31, numRuns: 300});
});

test('a conviction needs a second death under the only suspect and clears those who shared an endpoint', () => {
	const suspects = new Suspects({placeOf});
	const [poison, innocent] = ['poison', 'innocent'].map(digest => suspects.start(digest, 'endpoint-0'));
	suspects.died(poison!, 0);
	suspects.died(innocent!, 0);
	assert.ok(suspects.isSuspect('poison', 1) && suspects.isSuspect('innocent', 1));
	const retried = suspects.start('poison', 'endpoint-1');
	assert.ok(suspects.avoidance('innocent', () => endpoints, 1).every(avoided => avoided.has('endpoint-1')));
	suspects.died(retried, 100);
	assert.equal(suspects.isConvicted('poison', 200), false);
	assert.equal(suspects.isConvicted('poison', 100 + convictionMilliseconds), true);
	const moved = suspects.start('innocent', 'endpoint-2');
	for (let token = 0; token < harmlessTokens; token += 1) {
		suspects.progressed(moved);
	}

	assert.equal(suspects.avoidance('other', () => endpoints, 2000)[0]!.size, 0);
});

test('a whole zone that is lost, or an endpoint that is leaving, accuses nobody', () => {
	const suspects = new Suspects({placeOf: address => address === 'leaving' ? undefined : placeOf(address)});
	const death = suspects.died(suspects.start('innocent', 'endpoint-0'), 10)!;
	assert.deepEqual(suspects.witnesses(death, endpoints).zone, ['endpoint-4', 'endpoint-8', 'endpoint-12', 'endpoint-16', 'endpoint-20']);
	assert.ok(suspects.isSuspect('innocent', 11));
	death.common = true;
	assert.equal(suspects.isSuspect('innocent', 11), false);
	assert.equal(suspects.died(suspects.start('other', 'leaving'), 10), undefined);
	assert.equal(suspects.isSuspect('other', 11), false);
});

test('a suspect that has gone on gives its endpoint back', () => {
	const suspects = new Suspects({placeOf});
	suspects.died(suspects.start('innocent', 'endpoint-0'), 0);
	const retried = suspects.start('innocent', 'endpoint-1');
	assert.ok(suspects.avoidance('other', () => endpoints, 1)[0]!.has('endpoint-1'));
	for (let token = 0; token < harmlessTokens; token += 1) {
		suspects.progressed(retried);
	}

	assert.equal(suspects.avoidance('other', () => endpoints, 1)[0]!.has('endpoint-1'), false);
});
