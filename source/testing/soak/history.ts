/**
 * What callers, workers and the operator saw during a soak; all checks read only this.
 *
 * All times are steady, in milliseconds, of the soak's own process.
 *
 * @module
 */
import {type RetryBounds} from '../retry-excess.ts';
import {type WorkerArrival, type WorkerRun} from '../stand-ins/worker-options.ts';

/** Kinds of request: repeatable, to be run once at most, and generations, which can be gone on with. */
export type CallKind = 'idempotent' | 'once' | 'generation';

/** Answer that a caller got. */
export type SeenAnswer = {
	at: number;
	/** HTTP status; 0 where the connection ended without an answer. */
	status: number;
	/** Proof of the worker that answered; absent in answers of the gateway's own. */
	stamp: string | undefined;
	/** Whether it says that the worker leaves. */
	saysLeaving: boolean;
	/** Whether it names a limit of the worker. */
	namesLimit: boolean;
	/** Attempt that the answer names. */
	attempt: string | undefined;
	body: string;
	/** Whether it ended as the protocol says. */
	whole: boolean;
};

/** One attempt of a caller. */
export type SeenRequest = {
	attempt: string;
	kind: CallKind;
	gateway: string;
	workspace: string;
	key: string;
	method: string;
	target: string;
	body: string;
	/** Value of the header that names the parts of its prompt. Default: the parts that all generations share, and one of its own. */
	promptParts?: string;
	/** Last event that the caller has, where it goes on with a generation; else 0. */
	lastEvent: number;
	sentAt: number;
	/** When the connection was opened that it was sent on; absent where there was none. */
	connectedAt?: number;
	deadlineMilliseconds: number;
	answer?: SeenAnswer;
	/** When the caller left without an answer. */
	leftAt?: number;
};

/** A configuration, from the moment at which the store has it. */
export type SeenConfiguration = {
	version: number;
	at: number;
	/** Keys of each workspace. */
	keys: Record<string, string[]>;
	/** Service of each path prefix. */
	services: Record<string, string>;
};

/** A worker that leaves, from the moment at which the store has it. */
export type SeenLeaving = {worker: string; at: number};

/** A limit that a worker names from a moment on, in requests a second; absent where it names none from then on. */
export type SeenLimit = {worker: string; at: number; limit: number | undefined};

/** Something was harmed for a while. */
export type Disturbance = {
	kind: string;
	/** What: a gateway's name, a worker's slot, `store`, or `all`. */
	target: string;
	from: number;
	/** When it ended; absent while it lasts. */
	until: number | undefined;
};

/** A sound worker that is suspended for a while and then goes on with all that it holds; that is no disturbance. */
export type SeenSuspension = {worker: string; from: number; until: number};

/** The end of a worker's process under a request that ends it. */
export type SeenEnding = {attempt: string; at: number};

/** A planned stop of a gateway. */
export type PlannedStop = {gateway: string; at: number};

/** A process that ended. */
export type ProcessEnd = {gateway: string; at: number; expected: boolean; reason: string};

/** The most memory that a gateway's process had had by then. */
export type SeenMemory = {gateway: string; at: number; megabytes: number};

/** All that was seen. */
export type History = {
	retryBounds: RetryBounds;
	requests: SeenRequest[];
	/** What reached workers, whether they ran it or refused it. */
	arrivals: WorkerArrival[];
	runs: WorkerRun[];
	configurations: SeenConfiguration[];
	leavings: SeenLeaving[];
	limits: SeenLimit[];
	suspensions: SeenSuspension[];
	/** Ends of workers under requests that end them. */
	endings: SeenEnding[];
	disturbances: Disturbance[];
	stops: PlannedStop[];
	ends: ProcessEnd[];
	memory: SeenMemory[];
	/** Slot of each worker, by the worker's name. */
	slots: Map<string, string>;
	/** Time from which all faults are over and must have been made good; absent until then. */
	settledAt: number | undefined;
	/** Whether what is seen from then on counts although the soak's own process was late; otherwise the watch is repeated. */
	isLastWatch: boolean;
};

/**
 * An empty history.
 *
 * @param retryBounds What the gateways are set to.
 */
export function createHistory(retryBounds: RetryBounds): History {
	return {
		retryBounds, requests: [], arrivals: [], runs: [], configurations: [], leavings: [], limits: [], suspensions: [], endings: [], disturbances: [], stops: [], ends: [], memory: [], slots: new Map(), settledAt: undefined, isLastWatch: true,
	};
}

/** Time for which nothing may have harmed a gateway before rules with a time hold for it, in milliseconds. */
export const contactMilliseconds = 4000;

/**
 * Whether something was harmed within a span.
 *
 * @param history What was seen.
 * @param targets A gateway, a worker's slot, or `store`; `all` always counts.
 * @param from Start of the span.
 * @param until End of the span.
 */
export function isDisturbed({disturbances}: History, targets: readonly string[], from: number, until: number): boolean {
	return disturbances.some(disturbance =>
		(disturbance.target === 'all' || targets.includes(disturbance.target))
		&& disturbance.from <= until
		&& (disturbance.until ?? Number.POSITIVE_INFINITY) >= from);
}

/** Whether rules with a time hold for a gateway over a span: it and the store were sound from some seconds before. */
export function isInTouch(history: History, gateway: string, from: number, until: number): boolean {
	return !isDisturbed(history, [gateway, 'store'], from - contactMilliseconds, until);
}

/** Whether the worker of a run was sound over a span. */
export function isWorkerSound(history: History, {worker}: WorkerRun, from: number, until: number): boolean {
	return !isDisturbed(history, [history.slots.get(worker) ?? worker], from, until);
}
