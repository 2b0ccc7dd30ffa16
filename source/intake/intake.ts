/**
 * Takes in what callers send to a process: the memory that it takes, and the turns in which it is read.
 *
 * @module
 */
import {type Server} from 'node:http';
import {type Socket} from 'node:net';
import {CallerConnection, type CallerSocket} from './caller-connection.ts';
import {CallerMemory, type CollectionKind} from './caller-memory.ts';
import {collectGarbage} from './collect-garbage.ts';
import {type ConnectionGuard, type LateConnection, type SweepLimits} from './connection-guard.ts';
import {type IntakeLimits} from './intake-limits.ts';
import {ReadingTurns} from './reading-turns.ts';

/** Options of {@linkcode Intake}. */
export type IntakeOptions = {
	limits: IntakeLimits;
	/** Returns monotonic time, in milliseconds. */
	clock: () => number;
	/** Collects what is not used any more. Default {@linkcode collectGarbage}. */
	collect?: (kind: CollectionKind) => void;
	/** Called after a collection. Default does nothing. */
	onCollected?: (kind: CollectionKind) => void;
};

/** Why the intake closes a connection: there is no room for it, or it is late or sends too much. */
export type IntakeClosingReason = LateConnection<unknown>['reason'] | 'no-room';

/** Options of {@linkcode Intake.serve}. */
export type ServeOptions = {
	/** Decides which connections of the server are closed. */
	guard: ConnectionGuard<CallerSocket>;
	/** Returns the limits on what callers send. */
	limits: () => SweepLimits;
	/** Closes a connection. Default destroys it. */
	close?: (connection: CallerSocket, reason: IntakeClosingReason) => void;
	/** Called with the connections that were closed at a look at all of them, if there were any. Default does nothing. */
	onClosed?: (closed: ReadonlyArray<LateConnection<CallerSocket>>) => void;
};

/** Interval between two looks at all connections, in milliseconds. */
const sweepMilliseconds = 500;

/**
 * The intake of a process: all servers share its memory and its turns.
 *
 * @example
 * ```ts
 * const intake = new Intake({limits: intakeLimits(resources), clock});
 * intake.serve(server, {guard, limits: () => limits});
 * ```
 */
export class Intake {
	readonly memory: CallerMemory<CallerSocket>;
	readonly #turns = new ReadingTurns<CallerConnection>();
	readonly #options: Required<IntakeOptions>;
	#isTurnRunning = false;

	constructor(options: IntakeOptions) {
		this.#options = {collect: collectGarbage, onCollected: () => undefined, ...options};
		this.memory = new CallerMemory(options.limits);
	}

	/** Number of connections that wait for a turn. */
	get waiting(): number {
		return this.#turns.waiting;
	}

	/**
	 * Takes in what is sent on the connections of a server, in place of the server itself.
	 *
	 * @param server Server that does not listen yet. Its listeners for connections get a {@linkcode CallerConnection} each.
	 * @param options The guard of its connections, and how they are closed.
	 */
	serve(server: Server, options: ServeOptions): void {
		const {guard, close = destroy} = options;
		const listeners = server.listeners('connection');
		server.removeAllListeners('connection');
		server.on('connection', (socket: Socket) => {
			const connection = this.#open(socket, close);
			for (const listener of listeners) {
				Reflect.apply(listener, server, [connection]);
			}

			const victim = guard.open(connection, () => connection.bytesRead, this.#options.clock());
			connection.once('close', () => {
				guard.close(connection);
			});
			if (victim) {
				close(victim, 'no-room');
			}
		});
		this.#sweepRepeatedly(options);
	}

	#open(socket: Socket, close: Required<ServeOptions>['close']): CallerConnection {
		return new CallerConnection(socket, {
			memory: this.memory,
			turns: this.#turns,
			clock: this.#options.clock,
			onRead: () => {
				this.#endTurnLater();
			},
			onGiveUp: () => {
				this.#collect();
			},
			onReceive: () => {
				const victim = this.memory.chooseVictim();
				if (victim) {
					close(victim, 'no-room');
				}
			},
		});
	}

	/** Ends the turn after the other work of this turn of the event loop. */
	#endTurnLater(): void {
		if (this.#isTurnRunning) {
			return;
		}

		this.#isTurnRunning = true;
		setImmediate(() => {
			this.#isTurnRunning = false;
			for (const connection of this.#turns.startTurn(this.#options.clock())) {
				connection.readOn();
			}
		});
	}

	#collect(): void {
		const kind = this.memory.dueCollection;
		if (kind) {
			this.#options.collect(kind);
			this.memory.recordCollection(kind);
			this.#options.onCollected(kind);
		}
	}

	#sweepRepeatedly({guard, limits, close = destroy, onClosed = () => undefined}: ServeOptions): void {
		const sweep = setInterval(() => {
			const late = guard.sweep(limits(), this.#options.clock());
			for (const {key, reason} of late) {
				close(key, reason);
			}

			if (late.length > 0) {
				onClosed(late);
			}
		}, sweepMilliseconds);
		sweep.unref();
	}
}

function destroy(connection: CallerSocket): void {
	connection.destroy();
}
