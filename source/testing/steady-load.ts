/**
 * Sends requests to all gateways of a fleet at a constant rate, whether or not earlier ones were answered.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type CallerRequest, type GatewayFleet} from './gateway-fleet.ts';

/** A request with its result as seen by the caller; times are steady, in milliseconds. */
export type LoadResult = {sentAt: number; milliseconds: number; status: number; retryAfterSeconds: number | undefined};

/** Options of {@linkcode sendSteadyLoad}. */
export type SteadyLoadOptions = {
	/** Requests a second at all gateways together. */
	rate: number;
	forMilliseconds: number;
};

/** Makes the prompt of each generation its own. */
let prompts = 0;

/**
 * Sends requests to the gateways in turn, and waits for all answers.
 *
 * @param fleet The gateways.
 * @param request What is sent.
 * @param options Rate and duration.
 */
export async function sendSteadyLoad(fleet: GatewayFleet, request: CallerRequest, {rate, forMilliseconds}: SteadyLoadOptions): Promise<LoadResult[]> {
	const startedAt = performance.now();
	const gateways = [...fleet.gateways.values()];
	const results: Array<Promise<LoadResult>> = [];
	for (let number = 0; number < rate * forMilliseconds / 1000; number += 1) {
		await delay(Math.max(0, startedAt + (number * 1000 / rate) - performance.now()));
		results.push(send(number));
	}

	return Promise.all(results);

	async function send(number: number): Promise<LoadResult> {
		prompts += 1;
		const sentAt = performance.now();
		const {status, headers} = await fleet.call(gateways[number % gateways.length]!, {...request, headers: {...request.headers, 'x-azuretack-prompt-prefix': `${prompts.toString(16)}:8000`}});
		const retryAfter = headers['retry-after'];
		return {
			sentAt, milliseconds: performance.now() - sentAt, status, retryAfterSeconds: retryAfter === undefined ? undefined : Number(retryAfter),
		};
	}
}
