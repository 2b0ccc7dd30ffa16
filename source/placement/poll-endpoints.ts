/**
 * Polls the load and the cache events of a router's subset of endpoints at a constant rate.
 *
 * @module
 */
import {
	ok, type Result,
} from 'neverthrow';
import {type EngineClient} from '../endpoints/mod.ts';
import {poll, type TaskFailure} from '../supervision/mod.ts';
import {type Placement} from './placement.ts';

/** Options of {@linkcode pollEndpoints}. */
export type PollEndpointsOptions = {
	placement: Placement;
	engines: Pick<EngineClient, 'load' | 'cacheEvents'>;
	/** Returns the names of the model services. */
	services: () => readonly string[];
	/** Returns the monotonic time, in milliseconds. */
	clock: () => number;
	/** Returns a random number from 0 to 1. */
	random: () => number;
	/** Mean interval between two reads, independent of the number of endpoints, in milliseconds. Default 250. */
	periodMilliseconds?: number;
};

/** Number of load reads of an endpoint for each read of its cache events. */
const loadReadsPerCacheRead = 4;

/**
 * Polls one endpoint at a time, so that the message rate does not grow with the number of endpoints.
 *
 * @param options Placement, engine client and polling interval.
 * @param signal Stops the task.
 * @example
 * ```ts
 * supervisor.start('endpoints', signal => pollEndpoints(options, signal));
 * ```
 */
export async function pollEndpoints(options: PollEndpointsOptions, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const {periodMilliseconds = 250, random} = options;
	const reads = new Map<string, number>();
	await poll(async () => pollNext(options, reads), {periodMilliseconds, random, signal}).drain();
	return ok();
}

/** Reads the endpoint with the fewest reads. */
async function pollNext(options: PollEndpointsOptions, reads: Map<string, number>): Promise<void> {
	const {placement, engines, clock} = options;
	const addresses = new Set(options.services().flatMap(service => placement.subsetOf(service).map(({address}) => address)));
	updateReadCounts(reads, addresses);
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

	placement.recordLoad(address, load.value, clock());
	if (count % loadReadsPerCacheRead === 0) {
		const events = await engines.cacheEvents(address, placement.lastSequence(address));
		if (events.isOk()) {
			placement.recordCacheEvents(address, events.value, clock());
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

/** Removes unlisted endpoints and starts new ones one below the highest count, so that they are not read on every turn. */
function updateReadCounts(reads: Map<string, number>, listed: ReadonlySet<string>): void {
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
