import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {err, ok} from 'neverthrow';
import {type Transaction} from '../platform/mod.ts';
import {createLogger} from '../telemetry/mod.ts';
import {allowedLateSends, findLateSends} from '../testing/late-sends.ts';
import {Random} from '../testing/soak/random.ts';
import {RequestIdentity} from './request-identity.ts';
import {type SuspectChange} from './known-suspicions.ts';
import {RequestSuspects, type SuspectAdmission, type SuspectDecision} from './request-suspects.ts';
import {SuspicionTable, toldTable} from './suspicion-table.ts';
import {decodeSuspicion, forgottenMilliseconds, isRefused} from './suspicion.ts';

/** Time within which all must know of a third end, in milliseconds. */
const knownMilliseconds = 3000;

/** Time from a row to a gateway that hears of it last, in milliseconds. */
const newsMilliseconds = 1200;

type StandInRow = {key: string; content: Uint8Array; revision: number};

/** The store, as far as suspected requests go, with the time of the test. */
class SuspectStore {
	fault: 'none' | 'down' | 'lose-answers' = 'none';
	now = 0;
	calls = 0;
	revision = 0;
	readonly tables = new Map<string, Map<string, StandInRow>>();

	table(name: string): Map<string, StandInRow> {
		const table = this.tables.get(name) ?? new Map<string, StandInRow>();
		this.tables.set(name, table);
		return table;
	}

	async readRow(table: string, key: string) {
		this.calls += 1;
		const row = this.table(table).get(key);
		return this.#read(row ? [row] : []);
	}

	async readSome(table: string, from: string, limit: number) {
		return this.#read([...this.table(table).values()].filter(({key}) => key >= from).slice(0, limit));
	}

	async transact({expected, puts, removes}: Transaction) {
		this.calls += 1;
		if (this.fault === 'down') {
			return err({kind: 'refused' as const, message: 'down'});
		}

		if (expected.some(({table, key, revision}) => (this.table(table).get(key)?.revision ?? 0) !== revision)) {
			return ok({kind: 'conflict' as const});
		}

		this.revision += 1;
		for (const {table, key, content} of puts) {
			this.table(table).set(key, {key, content: new TextEncoder().encode(content), revision: this.revision});
		}

		for (const {table, key} of removes) {
			this.table(table).delete(key);
		}

		return this.fault === 'lose-answers' ? err({kind: 'unknown' as const, message: 'no answer'}) : ok({kind: 'committed' as const});
	}

	/** All rows that gateways are told of. */
	told(): SuspectChange[] {
		return [...this.table(toldTable).values()].map(({key, content, revision}) => ({digest: key, suspicion: decodeSuspicion(content)._unsafeUnwrap(), revision}));
	}

	async #read(rows: StandInRow[]) {
		return this.fault === 'down'
			? err({kind: 'refused' as const, message: 'down'})
			: ok({rows, revision: this.revision, storeMilliseconds: this.now});
	}
}

/** Gateways before endpoints, in the time of the test. */
class World {
	readonly store = new SuspectStore();
	readonly random: Random;
	readonly gateways: RequestSuspects[];
	readonly decisions = new Map<SuspectDecision, number>();
	readonly arrivals: number[] = [];
	readonly ends: number[] = [];
	#lives = 0;
	readonly #news: Array<{at: number; told: SuspectChange[]; revision: number}> = [];

	constructor(gateways: number, seed: number) {
		this.random = new Random(seed);
		this.gateways = Array.from({length: gateways}, () => this.createGateway());
	}

	createGateway(): RequestSuspects {
		const logger = createLogger('test', {level: 'silent'});
		const gateway = new RequestSuspects({
			table: new SuspicionTable({store: this.store, logger, random: () => this.random.integer(0, 999) / 1000}),
			logger,
			clock: () => this.store.now,
			count: decision => {
				this.decisions.set(decision, (this.decisions.get(decision) ?? 0) + 1);
			},
		});
		// A gateway takes no callers before it has been told.
		gateway.known.replace(this.store.told(), this.store.revision);
		gateway.known.confirm(this.store.revision);
		return gateway;
	}

	/** A request that ends each endpoint comes to a gateway, which sends it on while it may. */
	async send(gateway: RequestSuspects, identity: RequestIdentity, attempts: number): Promise<void> {
		const admission = await gateway.admit(identity);
		if (admission.kind === 'refused') {
			return;
		}

		const most = admission.kind === 'trial' ? 1 : attempts;
		for (let attempt = 0; attempt < most && (attempt === 0 || !gateway.isRefused(identity)); attempt += 1) {
			this.#lives += 1;
			this.arrivals.push(this.store.now);
			this.ends.push(this.store.now);
			await gateway.ended(identity, endpointOf(this.#lives));
		}
	}

	/** Time passes; what the store has is told to all gateways after a while. */
	pass(milliseconds: number): void {
		this.store.now += milliseconds;
		const told = this.store.told();
		const {revision, now} = this.store;
		this.#news.push({at: now + newsMilliseconds, told, revision});
		while (this.#news[0] && this.#news[0].at <= now) {
			const news = this.#news.shift()!;
			for (const gateway of this.gateways) {
				gateway.known.replace(news.told, news.revision);
				gateway.known.confirm(news.revision);
			}
		}
	}

	anyGateway(): RequestSuspects {
		return this.gateways[this.random.integer(0, this.gateways.length - 1)]!;
	}
}

function endpointOf(life: number) {
	return {
		id: `desk-${life}`, service: 'desk', address: '127.0.0.1:1', availabilityZone: 'zone-a', slots: 8, leaving: false, startedAt: life,
	};
}

async function kindOf(gateway: RequestSuspects, identity: RequestIdentity): Promise<SuspectAdmission['kind']> {
	const {kind} = await gateway.admit(identity);
	return kind;
}

function requestOf(body: string): RequestIdentity {
	return new RequestIdentity({
		host: 'desk.example', method: 'POST', target: '/status/1', workspace: 'workspace-1', body: new TextEncoder().encode(body),
	});
}

for (const gateways of [14, 146, 390]) {
	test(`a request that ends endpoints is held back by all of ${gateways} gateways, whichever it reaches and whenever they are restarted`, async () => {
		await fc.assert(fc.asyncProperty(fc.integer({min: 0, max: 1e6}), fc.integer({min: 1, max: 5}), fc.integer({min: 50, max: 3000}), async (seed, attempts, everyMilliseconds) => {
			const world = new World(gateways, seed);
			for (let returns = 0; returns < 60; returns += 1) {
				await world.send(world.anyGateway(), requestOf('ending'), attempts);
				world.pass(everyMilliseconds);
				if (world.random.integer(0, 19) === 0) {
					world.gateways.splice(0, gateways, ...world.gateways.map(() => world.createGateway()));
				}
			}

			const late = findLateSends(world, knownMilliseconds);
			assert.ok(late.length <= allowedLateSends, `${world.ends.length} ends, ${late.length} late sends`);
		}), {seed: 18, numRuns: 25});
	});
}

test('gateways that see one end each know of three only together, and refuse the request', async () => {
	const world = new World(3, 1);
	for (const gateway of world.gateways) {
		await world.send(gateway, requestOf('ending'), 1);
	}

	world.pass(0);
	world.pass(newsMilliseconds);
	const answers = await Promise.all(world.gateways.map(async gateway => gateway.admit(requestOf('ending'))));
	assert.deepEqual(new Set(answers.map(({kind}) => kind)), new Set(['refused']));
	const other = await world.gateways[0]!.admit(requestOf('another'));
	assert.equal(other.kind, 'free');
});

test('a request that was merely there is tried by one gateway after a while, and served by all once that went well', async () => {
	const world = new World(14, 2);
	const popular = requestOf('popular');
	await world.send(world.gateways[0]!, popular, 3);
	world.pass(newsMilliseconds);
	world.pass(newsMilliseconds);
	world.pass(newsMilliseconds);
	world.pass(newsMilliseconds);
	const admissions = await Promise.all(world.gateways.map(async gateway => ({gateway, admission: await gateway.admit(popular)})));
	const trials = admissions.filter(({admission}) => admission.kind === 'trial');
	assert.equal(trials.length, 1);
	await trials[0]!.gateway.succeeded(popular);
	world.pass(newsMilliseconds);
	world.pass(newsMilliseconds);
	const after = await Promise.all(world.gateways.map(async gateway => gateway.admit(popular)));
	assert.ok(after.every(({kind}) => kind === 'free'));
	assert.equal(world.store.table('request-ends').size, 0);
});

test('a popular request that runs well between the ends of endpoints is not refused', async () => {
	const world = new World(14, 3);
	const popular = requestOf('popular');
	for (let end = 0; end < 10; end += 1) {
		await world.anyGateway().ended(popular, endpointOf(end));
		world.pass(newsMilliseconds);
		world.pass(newsMilliseconds);
		for (const gateway of world.gateways) {
			assert.notEqual(await kindOf(gateway, popular), 'refused');
			await gateway.succeeded(popular);
		}
	}
});

test('the end of one endpoint that several gateways see counts once', async () => {
	const world = new World(14, 4);
	for (const gateway of world.gateways) {
		await gateway.ended(requestOf('popular'), endpointOf(1));
	}

	world.pass(newsMilliseconds);
	world.pass(newsMilliseconds);
	assert.equal(await kindOf(world.gateways[0]!, requestOf('popular')), 'free');
	assert.equal(world.decisions.get('counted'), 1);
});

test('while the store is away each gateway holds a request back by what it saw and heard, and the store has it afterwards', async () => {
	const world = new World(3, 5);
	const ending = requestOf('ending');
	const [first, second, third] = world.gateways as [RequestSuspects, RequestSuspects, RequestSuspects];
	world.store.fault = 'down';
	await world.send(first, ending, 1);
	await world.send(second, ending, 1);
	await world.send(second, ending, 1);
	third.hear(first.unsavedEnds());
	third.hear(second.unsavedEnds());
	assert.equal(await kindOf(third, ending), 'refused');
	assert.equal(await kindOf(first, ending), 'free');
	world.store.fault = 'none';
	const saving = new AbortController();
	const saved = [first, second, third].map(async gateway => gateway.saveUnsaved(saving.signal));
	while (!world.store.told().some(({suspicion}) => suspicion && isRefused(suspicion))) {
		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
	}

	saving.abort();
	await Promise.all(saved);
	world.pass(newsMilliseconds);
	world.pass(newsMilliseconds);
	assert.equal(await kindOf(first, ending), 'refused');
	assert.equal(world.store.told()[0]?.suspicion?.ends.length, 3);
});

test('an end whose answer of the store is lost is counted once', async () => {
	const world = new World(1, 6);
	world.store.fault = 'lose-answers';
	await world.gateways[0]!.ended(requestOf('ending'), endpointOf(1));
	world.store.fault = 'none';
	await world.gateways[0]!.ended(requestOf('ending'), endpointOf(1));
	await world.gateways[0]!.ended(requestOf('ending'), endpointOf(2));
	assert.equal(world.store.told()[0]?.suspicion?.ends.length, 2);
});

test('a trial that did not run is given back', async () => {
	const world = new World(1, 7);
	const ending = requestOf('ending');
	const [gateway] = world.gateways as [RequestSuspects];
	await world.send(gateway, ending, 3);
	for (let trial = 0; trial < 5; trial += 1) {
		world.pass(2000);
		assert.equal(await kindOf(gateway, ending), 'trial');
		await gateway.trialNotRun(ending);
	}

	world.pass(2000);
	assert.equal(await kindOf(gateway, ending), 'trial');
	world.pass(2000);
	assert.equal(await kindOf(gateway, ending), 'refused');
});

test('a request is forgotten after an hour, and its row is removed', async () => {
	const world = new World(1, 8);
	const [gateway] = world.gateways as [RequestSuspects];
	await world.send(gateway, requestOf('ending'), 3);
	world.pass(forgottenMilliseconds);
	assert.equal(await kindOf(gateway, requestOf('ending')), 'free');
	for (let index = 0; index < 3000 && world.store.told().length > 0; index += 1) {
		await gateway.ended(requestOf(`other ${index}`), endpointOf(index));
	}

	assert.equal(world.store.told().length, 0);
});

test('a row that cannot be read holds nothing against its request', async () => {
	const world = new World(1, 9);
	const {digest} = requestOf('ending');
	world.store.table('request-ends').set(digest, {key: digest, content: new TextEncoder().encode('not JSON'), revision: 1});
	await world.gateways[0]!.ended(requestOf('ending'), endpointOf(1));
	assert.equal(await kindOf(world.gateways[0]!, requestOf('ending')), 'free');
});

test('requests are the same by host, method, path, workspace and body, and by nothing else', () => {
	const base = {
		host: 'desk.example', method: 'POST', target: '/status/1', workspace: 'workspace-1', body: new TextEncoder().encode('body'),
	};
	const {digest} = new RequestIdentity(base);
	assert.equal(new RequestIdentity({...base, host: 'DESK.example'}).digest, digest);
	const changes = [{host: 'other'}, {method: 'PUT'}, {target: '/status/2'}, {workspace: undefined}, {body: new Uint8Array()}];
	for (const change of changes) {
		assert.notEqual(new RequestIdentity({...base, ...change}).digest, digest);
	}
});

test('attempts that lose one endpoint together have its end counted by one change of the row', async () => {
	const world = new World(1, 10);
	await Promise.all(Array.from({length: 20}, async () => world.gateways[0]!.ended(requestOf('popular'), endpointOf(1))));
	assert.equal(world.store.calls, 2);
});
