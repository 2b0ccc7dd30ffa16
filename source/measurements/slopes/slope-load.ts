/**
 * Load on one router: long generations, and short requests of many workspaces.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request} from 'undici';

/** Options of {@linkcode runLoad}. */
export type LoadOptions = {
	/** Callers' address of the router. */
	address: string;
	/** Long generations in progress. */
	generations: number;
	/** Tokens that a long generation may have at most. */
	tokensPerGeneration: number;
	/** Short requests of one token for each second. */
	requestsPerSecond: number;
	/** Keys of the workspaces, used in turn. */
	keys: string[];
	/** Ends the load. */
	signal: AbortSignal;
};

/**
 * Keeps up the load until the signal aborts.
 *
 * @param options Router and load.
 * @returns Number of answers that were refused or lost.
 */
export async function runLoad(options: LoadOptions): Promise<number> {
	const agent = new Agent({pipelining: 1, connect: {timeout: 5000}});
	const long = Array.from({length: options.generations}, async (_, position) => keepGenerating(options, agent, position));
	const losses = await Promise.all([...long, sendRequests(options, agent)]);
	await agent.destroy();
	let sum = 0;
	for (const loss of losses) {
		sum += loss;
	}

	return sum;
}

async function keepGenerating(options: LoadOptions, agent: Agent, position: number): Promise<number> {
	let losses = 0;
	for (let round = 0; !options.signal.aborted; round += 1) {
		const whole = await generate(options, agent, `Generation ${position} of round ${round}`, {tokens: options.tokensPerGeneration, key: position});
		losses += whole || options.signal.aborted ? 0 : 1;
	}

	return losses;
}

async function sendRequests(options: LoadOptions, agent: Agent): Promise<number> {
	const pending: Array<Promise<boolean>> = [];
	for (let count = 0; options.requestsPerSecond > 0 && !options.signal.aborted; count += 1) {
		pending.push(generate(options, agent, `Short request ${count}`, {tokens: 1, key: count}));
		await delay(1000 / options.requestsPerSecond);
	}

	const answers = await Promise.all(pending);
	return answers.filter(whole => !whole).length;
}

async function generate(options: LoadOptions, agent: Agent, prompt: string, {tokens, key}: {tokens: number; key: number}): Promise<boolean> {
	try {
		const response = await request(`http://${options.address}/v1/completions`, {
			dispatcher: agent,
			method: 'POST',
			headers: {authorization: `Bearer ${options.keys[key % options.keys.length]!}`, 'content-type': 'application/json'},
			body: JSON.stringify({
				model: 'briefs', prompt, max_tokens: tokens, stream: true,
			}),
			bodyTimeout: 0,
			signal: options.signal,
		});
		let end = '';
		// Only the end of the stream is looked at, which keeps the load cheap.
		for await (const chunk of response.body.setEncoding('utf8') as AsyncIterable<string>) {
			end = (end + chunk).slice(-20);
		}

		return end.includes('[DONE]');
	} catch {
		return false;
	}
}
