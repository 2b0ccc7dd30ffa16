/**
 * A fleet for calls to plain services: two routers, endpoints and the first router's store behind a fault proxy.
 *
 * @module
 */
import {request} from 'undici';
import {type Claim} from '../calls/mod.ts';
import {type Fleet, testKey, workspacesFile} from './fleet.ts';

/** Options of {@linkcode startCallFleet}. */
export type CallFleetOptions = {
	/** Endpoints of the service `orders`. Default 1. */
	endpoints?: number;
	/** Time for one call, in seconds. Default 10. */
	deadlineSeconds?: number;
	/** Options of the endpoints. Default none. */
	plain?: Record<string, unknown>;
};

/** A call as a test sends it. */
export type TestCall = {
	router?: 'router-1' | 'router-2';
	method?: 'GET' | 'POST' | 'HEAD';
	path?: string;
	key?: string;
	body?: string;
	firstAttempt?: boolean;
	timeoutMilliseconds?: number;
};

/** An answer; the status is 0 and the run state `lost` when there was none. */
export type TestAnswer = {status: number; run: string; code: string; text: string; retryAfter: string | undefined; headers: Record<string, unknown>};

/**
 * Starts the processes. The proxy's links are `store-1`, between the first router and the platform, and `endpoint-N`.
 *
 * @param fleet A fleet with only its platform.
 * @param options Endpoints, their speed and the deadline of calls.
 */
export async function startCallFleet(fleet: Fleet, options: CallFleetOptions = {}): Promise<void> {
	const links = [{name: 'store-1', listen: fleet.allocate(), target: fleet.process('platform').address}];
	for (let number = 1; number <= (options.endpoints ?? 1); number += 1) {
		const {address} = await fleet.startStandIn('plain', `plain-${number}`, options.plain);
		const link = {name: `endpoint-${number}`, listen: fleet.allocate(), target: address};
		links.push(link);
		fleet.addHost({
			name: `plain-${number}`, availabilityZone: 'zone-a', region: 'home', state: 'live', endpoints: [{service: 'orders', address: link.listen}],
		});
	}

	await fleet.startStandIn('proxy', 'proxy', {links});
	const changes = {platform: {timeoutMilliseconds: 400}};
	fleet.platformAddress = links[0]!.listen;
	await fleet.startRouter('router-1', changes);
	fleet.platformAddress = undefined;
	await fleet.startRouter('router-2', changes, 'zone-b');
	await fleet.publishHosts();
	const published = await fleet.publish({
		'orders.service.jsonc': {
			service: 'orders', kind: 'plain', idempotentCalls: [{method: 'GET', path: '/status'}], deadlineSeconds: options.deadlineSeconds ?? 10,
		},
		'all.workspaces.jsonc': workspacesFile(),
	});
	if (published.code !== 0) {
		throw new Error(published.errors);
	}

	await fleet.waitUntilReady();
}

/** Sends one call through a router, by default a keyed one through the first. */
export async function sendCall(fleet: Fleet, call: TestCall): Promise<TestAnswer> {
	const address = fleet.hosts.get(call.router ?? 'router-1')!.entry!.callers;
	try {
		const response = await request(`http://${address}/v1/services/orders${call.path ?? '/refills'}`, {
			method: call.method ?? 'POST',
			headers: {
				authorization: `Bearer ${testKey}`,
				'content-type': 'application/json',
				...(call.key !== undefined && {'idempotency-key': call.key}),
				...(call.firstAttempt && {'x-first-attempt': 'yes'}),
			},
			body: call.method === 'GET' || call.method === 'HEAD' ? undefined : call.body ?? '{"litres":20}',
			signal: AbortSignal.timeout(call.timeoutMilliseconds ?? 15_000),
		});
		const text = await response.body.text();
		return {
			status: response.statusCode, run: String(response.headers['x-run']), code: codeOf(text), text, retryAfter: response.headers['retry-after'] as string | undefined, headers: response.headers,
		};
	} catch (error) {
		return {
			status: 0, run: 'lost', code: String(error), text: '', retryAfter: undefined, headers: {},
		};
	}
}

/** Returns how often a key, or the path of an idempotent call, ran on all endpoints together. */
export async function runsOf(fleet: Fleet, key: string): Promise<number> {
	let runs = 0;
	for (const name of fleet.processes.keys()) {
		if (name.startsWith('plain-')) {
			const counts = await fleet.control<Record<string, number>>(name, '/control/runs');
			runs += counts[key] ?? 0;
		}
	}

	return runs;
}

/** Returns the claim of a key as the platform holds it. */
export async function claimOf(fleet: Fleet, key: string): Promise<Claim | undefined> {
	const {rows} = await fleet.control<{rows: Array<{key: string; value: Claim}>}>('platform', '/control/rows?table=claim');
	return rows.find(row => row.key === `test/orders/${key}`)?.value;
}

/** Applies a fault to a link of the proxy. */
export async function linkFault(fleet: Fleet, link: string, mode: string, delayMilliseconds = 0): Promise<void> {
	await fleet.control('proxy', '/control/fault', {link, mode, delayMilliseconds});
}

/** Applies a fault to the platform's table. */
export async function storeFault(fleet: Fleet, fault: {mode: string; delayMilliseconds?: number; requests?: number; paths?: string[]}): Promise<void> {
	await fleet.control('platform', '/control/fault', {paths: ['/table/'], ...fault});
}

function codeOf(text: string): string {
	try {
		return (JSON.parse(text) as {error?: {code?: string}}).error?.code ?? '';
	} catch {
		return '';
	}
}
