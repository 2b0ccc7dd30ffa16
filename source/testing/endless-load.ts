/**
 * Plays endpoints whose answers never end against a real gateway, beside requests of others.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type CallerAnswer} from './call.ts';
import {GatewayFleet, type CallerRequest} from './gateway-fleet.ts';
import {peakMegabytes, smallestHostMegabytes} from './process-memory.ts';
import {type EndlessPart} from './stand-ins/endless-answer.ts';

/** Time for which such requests come again, in milliseconds. */
const forMilliseconds = 3000;

/** Deadline of each request, in milliseconds. */
const deadlineMilliseconds = 3000;

/** Requests of others that must be served meanwhile. */
const othersServed = 6;

/** Statuses with which such a request may be refused. */
const refusals = new Set([502, 503, 504]);

/** Requests of each kind, with the service that runs them. */
export const endlessRequests: Record<string, {service: 'desk' | 'scribe'; request: CallerRequest}> = {
	'a call that may be repeated': {service: 'desk', request: {path: '/status/1'}},
	'a call to be run once': {service: 'desk', request: {path: '/deposits/1', method: 'POST'}},
	'a generation': {
		service: 'scribe',
		request: {
			path: '/drafts/1', method: 'POST', body: 'notes', headers: {'x-azuretack-token-counts': '8000,120', 'x-azuretack-prompt-prefix': 'a1:200,b2:7800'},
		},
	},
};

/** Options of {@linkcode playEndlessAnswers}. */
export type EndlessLoadOptions = {
	/** What never ends. */
	fault: EndlessPart;
	/** Requests at a time. */
	count: number;
	/** Service that misbehaves; the other one serves the others. */
	service: 'desk' | 'scribe';
	request: CallerRequest;
};

/**
 * Plays the load for some seconds.
 *
 * @param options The load.
 * @returns What was not as promised: answers that look complete, false refusals, others not served, too much memory.
 */
export async function playEndlessAnswers({fault, count, service, request}: EndlessLoadOptions): Promise<string[]> {
	await using fleet = await GatewayFleet.create();
	const worker = await fleet.startWorker({id: `${service}-1`, service});
	await fleet.startWorker({id: 'other-1', service: service === 'desk' ? 'scribe' : 'desk'});
	const gateway = await fleet.startGateway('gateway-1');
	worker.fault = fault;
	const until = performance.now() + forMilliseconds;
	const others: number[] = [];
	const ending = new AbortController();
	const serving = (async () => {
		while (!ending.signal.aborted) {
			const answer = await (service === 'desk' ? fleet.draft(gateway) : fleet.call(gateway, {path: '/status/other'}));
			others.push(answer.status);
			await delay(100);
		}
	})();
	const seen = await Promise.all(Array.from({length: count}, async () => {
		const answers: CallerAnswer[] = [];
		while (performance.now() < until || others.length < othersServed) {
			answers.push(await fleet.call(gateway, {...request, dropsBody: true, deadlineMilliseconds}));
		}

		return answers;
	}));
	ending.abort();
	await serving;
	const peak = await peakMegabytes(gateway.child.pid!);
	return [
		...seen.flat().flatMap(({status, whole}) => whole && !refusals.has(status) ? [`${status} looks complete`] : []),
		...others.flatMap(status => status === 200 ? [] : [`another one got ${status}`]),
		...(peak === undefined || peak >= smallestHostMegabytes ? [`the gateway has had ${peak} MB`] : []),
	];
}
