/**
 * Watches an engine that works on a generation, and finds out whether a silent one still does.
 *
 * @module
 */
import {type EngineReport} from '../balancing/mod.ts';
import {
	countsAsDead, decideOnSilence, lacksAttempt, provesRestart, withholdsEvents,
} from './silence-decision.ts';

/** Why an engine was left. */
export type Departure = {
	/** Whether the engine does not answer, or is another one by now. */
	unreachable: boolean;
	message: string;
};

/** Options of {@linkcode EngineWatch}. */
export type EngineWatchOptions = {
	/** Start of the engine, in Unix milliseconds; 0 where it is not known. */
	startedAt: number;
	/** Name of the attempt. */
	attempt: string;
	/** Steady time by which the generation must have ended, in milliseconds. */
	answerBy: number;
	/** Longest pause between events of an answer that is on time, in milliseconds. */
	eventPauseMilliseconds: number;
	/** Time to the first event of an answer that is on time, in milliseconds. */
	targetMilliseconds: number;
	/** Whether another engine holds a copy of the generation's memory. */
	hasCopy: boolean;
	/** Asks the engine for its load over a new connection; `undefined` where it does not answer. */
	ask: () => Promise<EngineReport | undefined>;
	/** Receives the reason once the engine is to be left. */
	onLeave: (departure: Departure) => void;
	clock: () => number;
};

/** Time between two looks at an engine, in milliseconds. */
const lookMilliseconds = 50;

/** Reports in a row that lack the attempt after which it counts as ended. */
const reportsWithoutAttempt = 2;

/**
 * Looks at an engine until it is stopped.
 *
 * @example
 * ```ts
 * const watch = new EngineWatch(options);
 * watch.start();
 * watch.gotOn(1);
 * watch.stop();
 * ```
 */
export class EngineWatch {
	readonly #options: EngineWatchOptions;
	#timer: NodeJS.Timeout | undefined;
	/** When the answer last got on: its head came, or a whole event. */
	#gotOnAt: number;
	#aliveAt: number;
	#received = 0;
	#unanswered = 0;
	#lacking = 0;
	#asking = false;
	#lastReport: EngineReport | undefined;

	constructor(options: EngineWatchOptions) {
		this.#options = options;
		this.#gotOnAt = options.clock();
		this.#aliveAt = this.#gotOnAt;
	}

	/** Starts to look. */
	start(): void {
		this.#timer = setInterval(() => {
			this.#look();
		}, lookMilliseconds);
	}

	/** Stops to look. */
	stop(): void {
		clearInterval(this.#timer);
	}

	/**
	 * Records that the answer got on. Bytes that complete no event are no reason to call it: a stalled engine may send some for ever.
	 *
	 * @param events Events that have arrived; 0 for the head of the answer.
	 */
	gotOn(events: number): void {
		this.#gotOnAt = this.#options.clock();
		this.#aliveAt = this.#gotOnAt;
		this.#received += events;
		this.#unanswered = 0;
		this.#lacking = 0;
	}

	#look(): void {
		const {answerBy, eventPauseMilliseconds, targetMilliseconds, hasCopy, clock} = this.#options;
		const now = clock();
		if (now >= answerBy) {
			this.#leave(false, 'the time of the request is over');
			return;
		}

		const silentMilliseconds = now - this.#gotOnAt;
		const step = decideOnSilence({
			started: this.#received > 0, silentMilliseconds, unprovenMilliseconds: now - this.#aliveAt, eventPauseMilliseconds, targetMilliseconds, hasCopy,
		});
		if (step === 'leave') {
			this.#leave(false, `no event came for ${Math.round(silentMilliseconds)} ms; ${describe(this.#lastReport)}`);
		} else if (step === 'ask' && !this.#asking) {
			void this.#ask();
		}
	}

	async #ask(): Promise<void> {
		this.#asking = true;
		const report = await this.#options.ask();
		this.#asking = false;
		if (report) {
			this.#take(report);
			return;
		}

		this.#unanswered += 1;
		const {eventPauseMilliseconds, hasCopy, clock} = this.#options;
		const isDead = countsAsDead({
			unanswered: this.#unanswered, silentMilliseconds: clock() - this.#gotOnAt, eventPauseMilliseconds, hasCopy,
		});
		if (isDead) {
			this.#leave(true, 'the engine does not answer');
		}
	}

	#take(report: EngineReport): void {
		const {startedAt, attempt, clock} = this.#options;
		this.#unanswered = 0;
		this.#aliveAt = clock();
		this.#lastReport = report;
		if (provesRestart(report, startedAt)) {
			this.#leave(true, 'the engine has started anew');
			return;
		}

		if (withholdsEvents(report, attempt, this.#received)) {
			this.#leave(false, 'the engine has made events that do not arrive');
			return;
		}

		this.#lacking = lacksAttempt(report, attempt) ? this.#lacking + 1 : 0;
		if (this.#lacking >= reportsWithoutAttempt) {
			this.#leave(false, 'the engine does not work on it any more');
		}
	}

	#leave(unreachable: boolean, message: string): void {
		this.stop();
		this.#options.onLeave({unreachable, message});
	}
}

function describe(report: EngineReport | undefined): string {
	return report
		? `the engine reports ${report.running} running, ${report.waiting} waiting, ${report.usedTokens} of ${report.memoryTokens} tokens in use`
		: 'the engine was not asked';
}
