/**
 * Reads the load and the cache events of a router's subset of endpoints at a paced rate.
 *
 * @module
 */
import {
	ok, type Result,
} from 'neverthrow';
import {type EngineClient} from '../endpoints/mod.ts';
import {poll, type TaskFailure} from '../supervision/mod.ts';
import {type Placement} from './placement.ts';

/** Options of {@linkcode followEndpoints}. */
export type FollowEndpointsOptions = {
	placement: Placement;
	engines: Pick<EngineClient, 'load' | 'cacheEvents'>;
	/** Returns the names of the services of model engines. */
	services: () => readonly string[];
	/** Returns the monotonic time, in milliseconds. */
	clock: () => number;
	/** Returns a random number from 0 to 1. */
	random: () => number;
	/** Mean time between two reads, whatever the number of endpoints, in milliseconds. Default 250. */
	periodMilliseconds?: number;
};

/** Reads of an endpoint's load for each read of its cache events. */
const loadsPerCacheRead = 4;

/**
 * Reads one endpoint after the other, so that the rate of messages does not grow with the fleet.
 *
 * @param options Placement, client and pace.
 * @param signal Ends the task.
 * @example
 * ```ts
 * supervisor.start('endpoints', signal => followEndpoints(options, signal));
 * ```
 */
export async function followEndpoints(options: FollowEndpointsOptions, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const {periodMilliseconds = 250, random} = options;
	const reads = new Map<string, number>();
	await poll(async () => readNext(options, reads), {periodMilliseconds, random, signal}).drain();
	return ok();
}

/** Reads the endpoint that was read the fewest times. */
async function readNext(options: FollowEndpointsOptions, reads: Map<string, number>): Promise<void> {
	const {placement, engines, clock} = options;
	const addresses = new Set(options.services().flatMap(service => placement.subsetOf(service).map(({address}) => address)));
	forgetUnlisted(reads, addresses);
	const address = leastRead(addresses, reads);
	if (address === undefined) {
		return;
	}

	const count = reads.get(address) ?? 0;
	reads.set(address, count + 1);
	const load = await engines.load(address);
	if (load.isErr()) {
		return;
	}

	placement.takeLoad(address, load.value, clock());
	if (count % loadsPerCacheRead === 0) {
		const events = await engines.cacheEvents(address, placement.lastSequence(address));
		if (events.isOk()) {
			placement.takeCacheEvents(address, events.value, clock());
		}
	}
}

function leastRead(addresses: ReadonlySet<string>, reads: ReadonlyMap<string, number>): string | undefined {
	let least: string | undefined;
	for (const address of addresses) {
		if (least === undefined || (reads.get(address) ?? 0) < (reads.get(least) ?? 0)) {
			least = address;
		}
	}

	return least;
}

/** Starts newly listed endpoints at the count of the others, so that they do not take every turn. */
function forgetUnlisted(reads: Map<string, number>, listed: ReadonlySet<string>): void {
	for (const address of reads.keys()) {
		if (!listed.has(address)) {
			reads.delete(address);
		}
	}

	let most = 0;
	for (const count of reads.values()) {
		most = Math.max(most, count);
	}

	for (const address of listed) {
		if (!reads.has(address)) {
			reads.set(address, Math.max(0, most - 1));
		}
	}
}
