/**
 * A TCP proxy that injects faults: cut, one-way cut, silence and delay.
 *
 * @module
 */
import {connect, createServer, type Socket} from 'node:net';
import * as z from 'zod';
import {answer, serveJson} from './control.ts';

/** Options of the proxy. */
export const proxyOptionsSchema = z.object({
	/** Address of its control port. */
	listen: z.string(),
	/** Links: where each one listens and what it leads to. */
	links: z.array(z.object({name: z.string(), listen: z.string(), target: z.string()})),
});

/**
 * A fault of one link.
 *
 * `cut` refuses and resets, `silent_existing` lets open connections go silent for good while new ones work,
 * `silent` drops every byte of all connections, `drop_requests` and `drop_answers` drop one direction.
 */
export const linkFaultSchema = z.object({
	link: z.string(),
	mode: z.enum(['up', 'cut', 'silent', 'silent_existing', 'drop_requests', 'drop_answers', 'delay']),
	delayMilliseconds: z.number().default(0),
});

type Fault = z.output<typeof linkFaultSchema>;

type Connection = {fromCaller: Socket; toTarget: Socket; silenced: boolean};

/**
 * Starts the proxy.
 *
 * @param options Control address and links.
 */
export async function startFaultProxy(options: z.output<typeof proxyOptionsSchema>): Promise<void> {
	const links = new Map(options.links.map(link => [link.name, new Link(link.listen, link.target)]));
	await Promise.all([...links.values()].map(async link => link.start()));
	await serveJson(options.listen, {
		'POST /control/fault'({body, response}) {
			const fault = linkFaultSchema.parse(body);
			links.get(fault.link)?.apply(fault);
			answer(response, 200, {});
		},
		'GET /control/connections'({response}) {
			answer(response, 200, Object.fromEntries([...links].map(([name, link]) => [name, {open: link.open, accepted: link.accepted}])));
		},
	});
}

class Link {
	accepted = 0;
	readonly #listen: string;
	readonly #target: string;
	readonly #connections = new Set<Connection>();
	#fault: Fault = {link: '', mode: 'up', delayMilliseconds: 0};

	constructor(listen: string, target: string) {
		this.#listen = listen;
		this.#target = target;
	}

	get open(): number {
		return this.#connections.size;
	}

	async start(): Promise<void> {
		const server = createServer(socket => {
			this.#accept(socket);
		});
		const {hostname, port} = new URL(`http://${this.#listen}`);
		await new Promise<void>(resolve => {
			server.listen(Number(port), hostname, resolve);
		});
	}

	apply(fault: Fault): void {
		this.#fault = fault;
		for (const connection of this.#connections) {
			if (fault.mode === 'cut') {
				connection.fromCaller.resetAndDestroy();
				connection.toTarget.resetAndDestroy();
			} else if (fault.mode === 'silent_existing') {
				connection.silenced = true;
			}
		}
	}

	#accept(fromCaller: Socket): void {
		this.accepted += 1;
		if (this.#fault.mode === 'cut') {
			fromCaller.resetAndDestroy();
			return;
		}

		const {hostname, port} = new URL(`http://${this.#target}`);
		const toTarget = connect(Number(port), hostname);
		const connection: Connection = {fromCaller, toTarget, silenced: false};
		this.#connections.add(connection);
		fromCaller.setNoDelay(true);
		toTarget.setNoDelay(true);
		this.#forward(connection, fromCaller, toTarget, 'drop_requests');
		this.#forward(connection, toTarget, fromCaller, 'drop_answers');
	}

	#forward(connection: Connection, from: Socket, to: Socket, dropped: Fault['mode']): void {
		// Bytes after a gap would never be delivered by TCP, so a direction that has lost some stays silent.
		let hasGap = false;
		const passes = () => !hasGap && !connection.silenced && this.#fault.mode !== 'silent' && this.#fault.mode !== dropped;
		from.on('data', chunk => {
			if (!passes()) {
				hasGap = true;
				return;
			}

			if (this.#fault.mode === 'delay') {
				setTimeout(() => {
					to.write(chunk);
				}, this.#fault.delayMilliseconds);
			} else if (!to.write(chunk)) {
				from.pause();
				to.once('drain', () => {
					from.resume();
				});
			}
		});
		from.on('error', () => {
			to.destroy();
		});
		from.on('close', () => {
			this.#connections.delete(connection);
			if (passes()) {
				to.end();
			}
		});
	}
}
