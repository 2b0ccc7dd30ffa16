/**
 * Monitors an engine that runs a generation, and checks whether it still does when it is silent.
 *
 * @module
 */
import {type EngineReport} from '../balancing/mod.ts';
import {showsQueueProgress} from './queue-progress.ts';
import {
	conditionOf, countEventsBefore, decideSilenceAction, lacksAttempt, showsRestart, showsWork, hasUndeliveredEvents, minimumUnansweredQueries, type EngineCondition, type EngineQuery,
} from './silence-decision.ts';

/** Why an engine was abandoned. */
export type AbandonReason = {
	/** Whether the engine does not respond, or has restarted. */
	unreachable: boolean;
	/** Whether it was left for its silence, so that it may be sound. */
	isSilent: boolean;
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
	/** Whether the attempt resumes a stream; the engine may then count the events that others generated before. */
	isResumed: boolean;
	/** Monotonic time until which the generation stays while the engine works through the requests before it, in milliseconds. */
	queueWatchedUntil: number;
	/** Queries the engine for its load over a new connection. */
	queryLoad: () => Promise<EngineQuery>;
	/** Acquires another engine for the generation; returns false if it must stay, as there is none or it may not be sent again. */
	acquireAlternative: (condition: EngineCondition) => Promise<boolean>;
	/** Called with the reason when the engine is abandoned. */
	onAbandon: (reason: AbandonReason) => void;
	clock: () => number;
};

/** Interval between two checks of an engine, in milliseconds. */
const checkIntervalMilliseconds = 50;

/** Minimum interval between two queries of an engine whose condition is known, in milliseconds. */
const queryIntervalMilliseconds = 250;

/** Interval between two attempts to acquire another engine, in milliseconds. */
const alternativeIntervalMilliseconds = 1000;

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
	/** Time at which the engine last reported work on the generation. */
	#workedAt = Number.NEGATIVE_INFINITY;
	#receivedEvents = 0;
	/** Number of events in the engine's reports that the attempt began with; `undefined` until a report shows the attempt. */
	#eventsBefore: number | undefined;
	/** Outcomes of the consecutive queries without a report. */
	#unansweredQueries: Array<Exclude<EngineCondition, 'alive'>> = [];
	/** Time of the first of these queries. */
	#unansweredSince = 0;
	/** Time since the last progress for which the engine gave no report and then did again, in milliseconds: it was suspended, and can't have worked. */
	#suspendedMilliseconds = 0;
	/** Time at which reports last showed that the engine's queue moves. */
	#queueMovedAt = Number.NEGATIVE_INFINITY;
	#nextQueryAt = Number.NEGATIVE_INFINITY;
	#nextAlternativeAt = Number.NEGATIVE_INFINITY;
	#isLeaving = false;
	#waitsForCaller = false;
	#reportsWithoutAttempt = 0;
	#isQuerying = false;
	#lastReport: EngineReport | undefined;

	constructor(options: EngineMonitorOptions) {
		this.#options = options;
		this.#eventsBefore = options.isResumed ? undefined : 0;
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
		this.#timer = undefined;
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
		this.#unansweredQueries = [];
		this.#suspendedMilliseconds = 0;
		this.#reportsWithoutAttempt = 0;
	}

	/** Sets whether the caller has not read what was sent to it. Meanwhile nothing is read from the engine, so that its silence says nothing. */
	setCallerWaits(isWaiting: boolean): void {
		this.#waitsForCaller = isWaiting;
		if (!isWaiting) {
			this.recordProgress(0);
		}
	}

	#check(): void {
		if (this.#timer === undefined) {
			return;
		}

		const {deadline, eventPauseMilliseconds, targetMilliseconds, hasCopy, clock} = this.#options;
		const now = clock();
		if (now >= deadline) {
			this.#abandon({unreachable: false, isSilent: false, message: 'the deadline of the request has passed'});
			return;
		}

		if (this.#waitsForCaller) {
			return;
		}

		const silentMilliseconds = now - this.#progressAt;
		const condition = conditionOf(this.#unansweredQueries);
		const action = decideSilenceAction({
			started: this.#receivedEvents > 0,
			silentMilliseconds,
			idleMilliseconds: now - Math.max(this.#progressAt + this.#suspendedMilliseconds, this.#workedAt),
			sinceQueueMovedMilliseconds: now < this.#options.queueWatchedUntil ? now - this.#queueMovedAt : Number.POSITIVE_INFINITY,
			sinceAliveMilliseconds: now - this.#lastAliveAt,
			condition,
			unansweredMilliseconds: this.#unansweredQueries.length > 0 ? now - this.#unansweredSince : 0,
			eventPauseMilliseconds,
			targetMilliseconds,
			hasCopy,
		});
		if (action === 'leave') {
			void this.#leave(condition, `no event was received for ${Math.round(silentMilliseconds)} ms; ${describeEngine(condition, this.#lastReport, now - this.#queueMovedAt)}`);
		}

		if (action !== 'wait' && !this.#isQuerying && now >= this.#nextQueryAt) {
			void this.#query();
		}
	}

	async #query(): Promise<void> {
		const queriedAt = this.#options.clock();
		this.#isQuerying = true;
		const query = await this.#options.queryLoad();
		this.#isQuerying = false;
		const nextQueryAt = this.#options.clock() + queryIntervalMilliseconds;
		if (query.kind === 'report') {
			this.#nextQueryAt = nextQueryAt;
			this.#handleReport(query.report);
			return;
		}

		if (this.#unansweredQueries.length === 0) {
			this.#unansweredSince = queriedAt;
		}

		this.#unansweredQueries = [...this.#unansweredQueries, query.kind].slice(-minimumUnansweredQueries);
		if (conditionOf(this.#unansweredQueries) !== 'alive') {
			this.#nextQueryAt = nextQueryAt;
			this.#check();
		}
	}

	#handleReport(report: EngineReport): void {
		const {startedAt, attemptId, clock} = this.#options;
		this.#suspendedMilliseconds += this.#unansweredQueries.length > 0 ? clock() - this.#unansweredSince : 0;
		this.#unansweredQueries = [];
		this.#lastAliveAt = clock();
		if (this.#receivedEvents > 0 && showsWork(report, this.#lastReport, attemptId)) {
			this.#workedAt = this.#lastAliveAt;
		}

		if (this.#lastAliveAt < this.#options.queueWatchedUntil && this.#lastReport && showsQueueProgress(report, this.#lastReport)) {
			this.#queueMovedAt = this.#lastAliveAt;
		}

		this.#lastReport = report;
		if (showsRestart(report, startedAt)) {
			this.#abandon({unreachable: true, isSilent: false, message: 'the engine has restarted'});
			return;
		}

		this.#eventsBefore ??= countEventsBefore(report, attemptId, this.#receivedEvents);
		if (!this.#waitsForCaller && hasUndeliveredEvents(report, attemptId, this.#receivedEvents + (this.#eventsBefore ?? 0))) {
			void this.#leave('alive', 'the engine has generated events that do not arrive');
			return;
		}

		this.#reportsWithoutAttempt = lacksAttempt(report, attemptId) ? this.#reportsWithoutAttempt + 1 : 0;
		if (this.#reportsWithoutAttempt >= maximumReportsWithoutAttempt) {
			this.#abandon({unreachable: false, isSilent: false, message: 'the engine no longer runs the generation'});
		}
	}

	/** Abandons an engine that may still run the generation, if another engine can be acquired and this one shows no life until then. */
	async #leave(condition: EngineCondition, message: string): Promise<void> {
		const {acquireAlternative, clock} = this.#options;
		if (this.#isLeaving || clock() < this.#nextAlternativeAt) {
			return;
		}

		const progressAt = this.#progressAt;
		this.#isLeaving = true;
		const isAcquired = await acquireAlternative(condition);
		this.#isLeaving = false;
		this.#nextAlternativeAt = clock() + alternativeIntervalMilliseconds;
		const hasComeBack = condition !== 'alive' && conditionOf(this.#unansweredQueries) === 'alive';
		if (isAcquired && this.#progressAt === progressAt && !hasComeBack) {
			this.#abandon({unreachable: condition !== 'alive', isSilent: true, message});
		}
	}

	#abandon(reason: AbandonReason): void {
		this.stop();
		this.#options.onAbandon(reason);
	}
}

const conditionDescriptions: Record<Exclude<EngineCondition, 'alive'>, string> = {
	unresponsive: 'the engine accepts connections and does not respond',
	unreachable: 'the engine accepts no connection',
};

function describeEngine(condition: EngineCondition, report: EngineReport | undefined, sinceQueueMovedMilliseconds: number): string {
	if (condition !== 'alive') {
		return conditionDescriptions[condition];
	}

	return report
		? `the engine reports ${report.running} running, ${report.waiting} waiting, ${report.usedTokens} of ${report.memoryTokens} tokens in use${describeQueue(sinceQueueMovedMilliseconds)}`
		: 'the engine was not queried';
}

function describeQueue(sinceMovedMilliseconds: number): string {
	return Number.isFinite(sinceMovedMilliseconds) ? `, its queue moved ${Math.round(sinceMovedMilliseconds)} ms ago` : '';
}
