/**
 * One link through the proxy: forwards connections to a target, and harms them.
 *
 * @module
 */
import {once} from 'node:events';
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import * as z from 'zod';

/**
 * A fault of one link.
 *
 * `cut` refuses and resets, `reset_existing` resets open connections once, `silent_existing` lets open connections go silent for
 * good while new ones work, `silent` drops every byte of all connections, `drop_requests` and `drop_answers` drop one direction,
 * `drop_idle` ends idle connections without notice: whatever the caller sends next is reset.
 */
export const linkFaultSchema = z.object({
	link: z.string(),
	mode: z.enum(['up', 'cut', 'reset_existing', 'silent', 'silent_existing', 'drop_requests', 'drop_answers', 'drop_idle', 'delay']),
	delayMilliseconds: z.number().default(0),
});

/** A fault of one link. */
export type LinkFault = z.output<typeof linkFaultSchema>;

type Connection = {fromCaller: Socket; toTarget: Socket; silenced: boolean; dropped: boolean; answeredAt: number | undefined};

/** Time after the last byte of an answer from which a connection counts as idle, in milliseconds. */
const idleMilliseconds = 100;

/**
 * A link.
 *
 * @example
 * ```ts
 * const link = new Link('127.0.0.1:7001', '127.0.0.1:8001');
 * await link.start();
 * link.apply({mode: 'cut'});
 * ```
 */
export class Link {
	accepted = 0;
	#server: Server | undefined;
	readonly #listen: string;
	readonly #target: string;
	readonly #connections = new Set<Connection>();
	#fault: Omit<LinkFault, 'link'> = {mode: 'up', delayMilliseconds: 0};

	constructor(listen: string, target: string) {
		this.#listen = listen;
		this.#target = target;
	}

	get open(): number {
		return this.#connections.size;
	}

	/** Where it listens. */
	get address(): string {
		return this.#listen;
	}

	/** Starts to listen, unless it does. */
	async start(): Promise<void> {
		if (this.#server?.listening) {
			return;
		}

		this.#server = createServer(socket => {
			this.#accept(socket);
		});
		const {hostname, port} = new URL(`http://${this.#listen}`);
		this.#server.listen(Number(port), hostname);
		await once(this.#server, 'listening');
	}

	/** Refuses new connections until it is started again, as an address at which no process listens. */
	refuse(): void {
		this.#server?.close();
	}

	/** Stops, and resets what is open. */
	close(): void {
		this.#server?.close();
		this.apply({mode: 'cut'});
	}

	/** Starts a fault, which takes the place of the one before; `up` ends it. */
	apply({mode, delayMilliseconds = 0}: {mode: LinkFault['mode']; delayMilliseconds?: number}): void {
		this.#fault = {mode, delayMilliseconds};
		for (const connection of this.#connections) {
			harmExisting[mode]?.(connection);
		}
	}

	#accept(fromCaller: Socket): void {
		this.accepted += 1;
		if (this.#fault.mode === 'cut') {
			resetSocket(fromCaller);
			return;
		}

		const {hostname, port} = new URL(`http://${this.#target}`);
		const toTarget = connect(Number(port), hostname);
		const connection: Connection = {
			fromCaller, toTarget, silenced: false, dropped: false, answeredAt: undefined,
		};
		this.#connections.add(connection);
		fromCaller.setNoDelay(true);
		toTarget.setNoDelay(true);
		this.#forward(connection, fromCaller, toTarget, 'drop_requests');
		this.#forward(connection, toTarget, fromCaller, 'drop_answers');
	}

	#forward(connection: Connection, from: Socket, to: Socket, dropped: LinkFault['mode']): void {
		// Bytes after a gap would never be delivered by TCP, so a direction that has lost some stays silent.
		let hasGap = false;
		const held = new HeldWrites();
		const hold = (write: () => void) => {
			held.add(write, this.#fault.mode === 'delay' ? this.#fault.delayMilliseconds : 0);
		};

		const passes = () => !hasGap && !connection.silenced && this.#fault.mode !== 'silent' && this.#fault.mode !== dropped;
		from.on('data', chunk => {
			if (connection.dropped) {
				resetSocket(from);
				return;
			}

			connection.answeredAt = from === connection.toTarget ? performance.now() : undefined;
			if (!passes()) {
				hasGap = true;
				return;
			}

			if (this.#fault.mode === 'delay' || !held.isEmpty) {
				hold(() => {
					to.write(chunk);
				});
			} else if (!to.write(chunk)) {
				from.pause();
				to.once('drain', () => {
					from.resume();
				});
			}
		});
		from.on('error', () => {
			// The other side must see a reset too: an end would make an answer without a length look complete.
			resetSocket(to);
		});
		from.on('close', () => {
			if (from === connection.toTarget && connection.dropped) {
				return;
			}

			if (to.destroyed) {
				this.#connections.delete(connection);
			}

			if (passes()) {
				hold(() => {
					to.end();
				});
			}
		});
	}
}

/** Writes that are held back, in the order in which they came, also where a delay ends while some are still held. */
class HeldWrites {
	readonly #writes: Array<{at: number; write: () => void}> = [];

	get isEmpty(): boolean {
		return this.#writes.length === 0;
	}

	add(write: () => void, milliseconds: number): void {
		this.#writes.push({at: performance.now() + milliseconds, write});
		if (this.#writes.length === 1) {
			this.#wait();
		}
	}

	#wait(): void {
		setTimeout(() => {
			while (this.#writes[0] && this.#writes[0].at <= performance.now()) {
				this.#writes.shift()!.write();
			}

			if (!this.isEmpty) {
				this.#wait();
			}
		}, Math.max(0, this.#writes[0]!.at - performance.now()));
	}
}

/** What each mode does to a connection that is open when it starts. */
const harmExisting: Partial<Record<LinkFault['mode'], (connection: Connection) => void>> = {
	cut: reset,
	reset_existing: reset,
	silent_existing(connection) {
		connection.silenced = true;
	},
	drop_idle(connection) {
		if (connection.answeredAt !== undefined && performance.now() - connection.answeredAt > idleMilliseconds) {
			connection.dropped = true;
			connection.toTarget.destroy();
		}
	},
};

function reset({fromCaller, toTarget}: Connection): void {
	resetSocket(fromCaller);
	resetSocket(toTarget);
}

/** Resets a socket; one that is ending already cannot be reset, and Node would keep it open. */
function resetSocket(socket: Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}
