/**
 * A supervisor that restarts long-running tasks when they fail.
 *
 * @module
 */
import {type Result} from 'neverthrow';
import {type Logger} from '../telemetry/mod.ts';
import {InvariantError} from './invariant.ts';
import {pause} from './pause.ts';

/** Reason why a task ended without being stopped. */
export type TaskFailure = {message: string};

/** A long-running task: it ends when its signal aborts, or returns a failure to be restarted. */
export type Task = (signal: AbortSignal) => Promise<Result<void, TaskFailure>>;

/** Options of {@linkcode Supervisor}. */
export type SupervisorOptions = {
	/** Logs each restart. */
	logger: Logger;
	/** Delay before the first restart, in milliseconds. Default 50. */
	firstDelayMilliseconds?: number;
	/** Longest delay between restarts, in milliseconds. Default 2,000. */
	longestDelayMilliseconds?: number;
	/** Time that a task must run before its restart delay is reset, in milliseconds. Default 10,000. */
	steadyMilliseconds?: number;
};

/**
 * Runs named tasks, restarts those that fail, and stops them in reverse order of their start.
 *
 * @example
 * ```ts
 * const supervisor = new Supervisor({logger});
 * supervisor.start('host-list', signal => followHostList(signal));
 * await supervisor.stop();
 * ```
 */
export class Supervisor {
	readonly #options: Required<SupervisorOptions>;
	readonly #children = new Map<string, {controller: AbortController; done: Promise<void>}>();

	constructor(options: SupervisorOptions) {
		this.#options = {
			firstDelayMilliseconds: 50,
			longestDelayMilliseconds: 2000,
			steadyMilliseconds: 10_000,
			...options,
		};
	}

	/** Names of the running tasks, in order of their start. */
	get names(): string[] {
		return [...this.#children.keys()];
	}

	/**
	 * Starts a task; does nothing if a task of the same name is running.
	 *
	 * @param name Name in logs.
	 * @param task The task to keep running.
	 */
	start(name: string, task: Task): void {
		if (this.#children.has(name)) {
			return;
		}

		const controller = new AbortController();
		const done = this.#keepRunning(name, task, controller.signal);
		this.#children.set(name, {controller, done});
	}

	/**
	 * Stops one task and waits until it has ended.
	 *
	 * @param name Name of the task; an unknown name is ignored.
	 */
	async stopTask(name: string): Promise<void> {
		const child = this.#children.get(name);
		if (!child) {
			return;
		}

		this.#children.delete(name);
		child.controller.abort();
		await child.done;
	}

	/** Stops all tasks in reverse order of their start. */
	async stop(): Promise<void> {
		for (const name of this.names.toReversed()) {
			await this.stopTask(name);
		}
	}

	async #keepRunning(name: string, task: Task, signal: AbortSignal): Promise<void> {
		const {logger, firstDelayMilliseconds, longestDelayMilliseconds, steadyMilliseconds} = this.#options;
		let delayMilliseconds = firstDelayMilliseconds;
		while (!signal.aborted) {
			const startedAt = performance.now();
			const failure = await runOnce(task, signal);
			if (signal.aborted) {
				return;
			}

			if (performance.now() - startedAt >= steadyMilliseconds) {
				delayMilliseconds = firstDelayMilliseconds;
			}

			logger.warn('task restarts', {task: name, failure, delayMilliseconds});
			await pause(delayMilliseconds, signal);
			delayMilliseconds = Math.min(delayMilliseconds * 2, longestDelayMilliseconds);
		}
	}
}

async function runOnce(task: Task, signal: AbortSignal): Promise<string> {
	try {
		const result = await task(signal);
		return result.isErr() ? result.error.message : 'ended';
	} catch (error) {
		if (error instanceof InvariantError) {
			throw error;
		}

		return error instanceof Error ? error.message : String(error);
	}
}
