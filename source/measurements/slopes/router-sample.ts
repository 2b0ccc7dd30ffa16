/**
 * Reads what a router has spent, from its operator port.
 *
 * @module
 */
import {request} from 'undici';
import {operatorKey, type Fleet} from '../../testing/fleet.ts';

/** Running totals of one router. */
export type RouterSample = {
	processorSeconds: number;
	residentBytes: number;
	peerBytes: number;
	platformBytes: number;
	endpointBytes: number;
	platformReads: number;
	platformWrites: number;
};

/** What a router spends for each second, and the memory that it holds. */
export type RouterSpending = {
	/** Share of one core, in percent. */
	processorPercent: number;
	residentMegabytes: number;
	peerBytesPerSecond: number;
	platformBytesPerSecond: number;
	endpointBytesPerSecond: number;
	platformReadsPerSecond: number;
	platformWritesPerSecond: number;
};

/**
 * Reads the running totals of a router.
 *
 * @param fleet The fleet.
 * @param name Name of the router.
 */
export async function sampleRouter(fleet: Fleet, name: string): Promise<RouterSample> {
	const address = fleet.hosts.get(name)!.entry!.operators;
	const response = await request(`http://${address}/metrics`, {headers: {authorization: `Bearer ${operatorKey}`}});
	const text = await response.body.text();
	const lines = text.split('\n');
	const total = (prefix: string) => {
		let sum = 0;
		for (const line of lines) {
			if (line.startsWith(prefix)) {
				sum += Number(line.slice(line.lastIndexOf(' ')));
			}
		}

		return sum;
	};

	const writes = total('azuretack_platform_requests_total{operation="transact"') + total('azuretack_platform_requests_total{operation="put_object"');
	return {
		processorSeconds: total('process_cpu_seconds_total '),
		residentBytes: total('process_resident_memory_bytes '),
		peerBytes: total('azuretack_peer_bytes_total '),
		platformBytes: total('azuretack_platform_bytes_total '),
		endpointBytes: total('azuretack_endpoint_control_bytes_total '),
		platformReads: total('azuretack_platform_requests_total{') - writes,
		platformWrites: writes,
	};
}

/**
 * Works out what was spent between two samples.
 *
 * @param before Earlier sample.
 * @param after Later sample.
 * @param seconds Time between them.
 */
export function spendingBetween(before: RouterSample, after: RouterSample, seconds: number): RouterSpending {
	return {
		processorPercent: ((after.processorSeconds - before.processorSeconds) / seconds) * 100,
		residentMegabytes: after.residentBytes / 1_048_576,
		peerBytesPerSecond: (after.peerBytes - before.peerBytes) / seconds,
		platformBytesPerSecond: (after.platformBytes - before.platformBytes) / seconds,
		endpointBytesPerSecond: (after.endpointBytes - before.endpointBytes) / seconds,
		platformReadsPerSecond: (after.platformReads - before.platformReads) / seconds,
		platformWritesPerSecond: (after.platformWrites - before.platformWrites) / seconds,
	};
}

/**
 * Returns the mean of several routers' spending.
 *
 * @param spendings At least one.
 */
export function meanSpending(spendings: RouterSpending[]): RouterSpending {
	const mean = (field: keyof RouterSpending) => {
		let sum = 0;
		for (const spending of spendings) {
			sum += spending[field];
		}

		return sum / spendings.length;
	};

	return {
		processorPercent: mean('processorPercent'),
		residentMegabytes: mean('residentMegabytes'),
		peerBytesPerSecond: mean('peerBytesPerSecond'),
		platformBytesPerSecond: mean('platformBytesPerSecond'),
		endpointBytesPerSecond: mean('endpointBytesPerSecond'),
		platformReadsPerSecond: mean('platformReadsPerSecond'),
		platformWritesPerSecond: mean('platformWritesPerSecond'),
	};
}
