/**
 * Monitors an engine that runs a generation, and checks whether it still does when it is silent.
 *
 * @module
 */
import {type EngineReport} from '../balancing/mod.ts';
import {
	isPresumedDead, decideSilenceAction, lacksAttempt, showsRestart, hasUndeliveredEvents,
} from './silence-decision.ts';

/** Why an engine was abandoned. */
export type AbandonReason = {
	/** Whether the engine does not respond, or has restarted. */
	unreachable: boolean;
	message: string;
};

/** Options of {@linkcode EngineMonitor}. */
export type EngineMonitorOptions = {
	/** Start time of the engine, in Unix milliseconds; 0 if unknown. */
	startedAt: number;
	/** Id of the attempt. */
	attemptId: string;
	/** Monotonic time by which the generation must have ended, in milliseconds. */
	deadline: number;
	/** Maximum acceptable pause between two events, in milliseconds. */
	eventPauseMilliseconds: number;
	/** Target time to the first event, in milliseconds. */
	targetMilliseconds: number;
	/** Whether another engine holds a copy of the generation's KV cache. */
	hasCopy: boolean;
	/** Queries the engine for its load over a new connection; returns `undefined` if it does not respond. */
	queryLoad: () => Promise<EngineReport | undefined>;
	/** Called with the reason when the engine must be abandoned. */
	onAbandon: (reason: AbandonReason) => void;
	clock: () => number;
};

/** Interval between two checks of an engine, in milliseconds. */
const checkIntervalMilliseconds = 50;

/** Number of consecutive reports without the attempt after which the attempt counts as ended. */
const maximumReportsWithoutAttempt = 2;

/**
 * Checks an engine periodically until it is stopped.
 *
 * @example
 * ```ts
 * const monitor = new EngineMonitor(options);
 * monitor.start();
 * monitor.recordProgress(1);
 * monitor.stop();
 * ```
 */
export class EngineMonitor {
	readonly #options: EngineMonitorOptions;
	#timer: NodeJS.Timeout | undefined;
	/** Time at which the response last made progress: its head or a complete event arrived. */
	#progressAt: number;
	#lastAliveAt: number;
	#receivedEvents = 0;
	#unansweredQueries = 0;
	#reportsWithoutAttempt = 0;
	#isQuerying = false;
	#lastReport: EngineReport | undefined;

	constructor(options: EngineMonitorOptions) {
		this.#options = options;
		this.#progressAt = options.clock();
		this.#lastAliveAt = this.#progressAt;
	}

	/** Starts monitoring. */
	start(): void {
		this.#timer = setInterval(() => {
			this.#check();
		}, checkIntervalMilliseconds);
	}

	/** Stops monitoring. */
	stop(): void {
		clearInterval(this.#timer);
	}

	/**
	 * Records that the response made progress.
	 *
	 * Not to be called for bytes that complete no event, since a stalled engine may send those indefinitely.
	 *
	 * @param events Number of events that have arrived; 0 for the head of the response.
	 */
	recordProgress(events: number): void {
		this.#progressAt = this.#options.clock();
		this.#lastAliveAt = this.#progressAt;
		this.#receivedEvents += events;
		this.#unansweredQueries = 0;
		this.#reportsWithoutAttempt = 0;
	}

	#check(): void {
		const {deadline, eventPauseMilliseconds, targetMilliseconds, hasCopy, clock} = this.#options;
		const now = clock();
		if (now >= deadline) {
			this.#abandon(false, 'the deadline of the request has passed');
			return;
		}

		const silentMilliseconds = now - this.#progressAt;
		const action = decideSilenceAction({
			started: this.#receivedEvents > 0, silentMilliseconds, sinceAliveMilliseconds: now - this.#lastAliveAt, eventPauseMilliseconds, targetMilliseconds, hasCopy,
		});
		if (action === 'abandon') {
			this.#abandon(false, `no event was received for ${Math.round(silentMilliseconds)} ms; ${describeReport(this.#lastReport)}`);
		} else if (action === 'query' && !this.#isQuerying) {
			void this.#query();
		}
	}

	async #query(): Promise<void> {
		this.#isQuerying = true;
		const report = await this.#options.queryLoad();
		this.#isQuerying = false;
		if (report) {
			this.#handleReport(report);
			return;
		}

		this.#unansweredQueries += 1;
		const {eventPauseMilliseconds, hasCopy, clock} = this.#options;
		const isDead = isPresumedDead({
			unanswered: this.#unansweredQueries, silentMilliseconds: clock() - this.#progressAt, eventPauseMilliseconds, hasCopy,
		});
		if (isDead) {
			this.#abandon(true, 'the engine does not respond');
		}
	}

	#handleReport(report: EngineReport): void {
		const {startedAt, attemptId, clock} = this.#options;
		this.#unansweredQueries = 0;
		this.#lastAliveAt = clock();
		this.#lastReport = report;
		if (showsRestart(report, startedAt)) {
			this.#abandon(true, 'the engine has restarted');
			return;
		}

		if (hasUndeliveredEvents(report, attemptId, this.#receivedEvents)) {
			this.#abandon(false, 'the engine has generated events that do not arrive');
			return;
		}

		this.#reportsWithoutAttempt = lacksAttempt(report, attemptId) ? this.#reportsWithoutAttempt + 1 : 0;
		if (this.#reportsWithoutAttempt >= maximumReportsWithoutAttempt) {
			this.#abandon(false, 'the engine no longer runs the generation');
		}
	}

	#abandon(unreachable: boolean, message: string): void {
		this.stop();
		this.#options.onAbandon({unreachable, message});
	}
}

function describeReport(report: EngineReport | undefined): string {
	return report
		? `the engine reports ${report.running} running, ${report.waiting} waiting, ${report.usedTokens} of ${report.memoryTokens} tokens in use`
		: 'the engine was not queried';
}
