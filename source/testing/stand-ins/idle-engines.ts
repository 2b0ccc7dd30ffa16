/**
 * Many endpoints in one process, which answer for their load and nothing else, for measurements of control traffic.
 *
 * @module
 */
import {createServer} from 'node:http';
import {createServer as createListener} from 'node:net';
import * as z from 'zod';
import {answer} from './control.ts';

/** Options of the idle engines: consecutive ports of one address. */
export const idleEnginesOptionsSchema = z.object({
	address: z.string(),
	firstPort: z.number().int(),
	count: z.number().int(),
	model: z.string().default('model'),
	version: z.string().default('v1'),
});

/**
 * Starts servers that all answer `GET /v1/load` as an idle engine does.
 *
 * @param options Address, ports and model.
 */
export async function startIdleEngines(options: z.output<typeof idleEnginesOptionsSchema>): Promise<void> {
	const server = createServer((request, response) => {
		request.resume();
		if (request.url?.startsWith('/v1/cache_events')) {
			answer(response, 200, {events: []});
			return;
		}

		answer(response, 200, {
			running: 0,
			waiting: 0,
			tokens_in_progress: 0,
			capacity_tokens: 32_768,
			measured_at: Date.now(),
			role: 'mixed',
			models: [{model: options.model, version: options.version, adapters: []}],
		});
	});
	for (let offset = 0; offset < options.count; offset += 1) {
		// Each port has a server of its own, whose connections are handed to the one that answers.
		const listener = createListener();
		listener.on('connection', socket => {
			server.emit('connection', socket);
		});
		await new Promise<void>(resolve => {
			listener.listen(options.firstPort + offset, options.address, resolve);
		});
	}
}
