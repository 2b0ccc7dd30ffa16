/**
 * What a worker stand-in is told to do, and what it notes of what it did.
 *
 * @module
 */
import {type IncomingMessage} from 'node:http';
import {type EndlessPart} from './endless-answer.ts';
import {type StallPart} from './stalled-answer.ts';

/** One request that a worker ran. Times are steady, in milliseconds. */
export type WorkerRun = {
	attempt: string;
	worker: string;
	service: string;
	headers: IncomingMessage['headers'];
	body: string;
	method: string;
	target: string;
	startedAt: number;
	/** When it stopped working on it; absent while it works. */
	endedAt: number | undefined;
	/** When its answer stalled while bytes still came; absent where it did not. */
	stalledAt?: number;
	/** Status that it answered, or was about to answer. */
	status: number;
	/** Body that it answered or was about to answer, of a plain call. */
	answer: string;
};

/** One request that reached a worker, whether it ran it or refused it. */
export type WorkerArrival = {
	attempt: string;
	service: string;
	worker: string;
	/** Steady time, in milliseconds. */
	at: number;
	/** Steady time until which the worker said that it asks to back off, in milliseconds. */
	backoffUntil: number | undefined;
	/** Whether the answer to it says that the worker leaves. */
	saysLeaving: boolean;
};

/**
 * What a worker does with requests: it works, fails, refuses, ends answers early, says nothing, names another one, sends more than an
 * answer, sends no HTTP, works slowly, repeats an event, begins answers that never end, or stalls while bytes still come.
 */
export type WorkerFault = 'none' | 'error' | 'full' | 'break' | 'reset' | 'mute' | 'other-id' | 'extra' | 'garble' | 'slow' | 'repeat' | EndlessPart | StallPart;

/**
 * How a worker breaks the promises that a check relies on, for tests of the checks: it runs what it refuses, works on when a connection
 * has closed, counts each run three times, sends another body than it notes, breaks streams off while it works on, or notes another body
 * than it got, or notes that it asks to back off and does not say so.
 */
export type WorkerLie = 'runs-refused' | 'ignores-close' | 'counts-thrice' | 'other-body' | 'breaks-and-works-on' | 'misreads' | 'asks-no-backoff';

/** Options of a worker stand-in. */
export type WorkerStandInOptions = {
	id: string;
	service: string;
	/** `address:port` to listen on. */
	listen: string;
	/** Address that others use. Default: the one listened on. */
	advertised?: string;
	/** Availability zone. Default `zone-a`. */
	availabilityZone?: string;
	/** Version of its software. Default `v1`. */
	version?: string;
	/** Body of the answer to a plain call. Default: names the worker. */
	answerOf?: (run: WorkerRun) => string;
	/** Receives what it runs. Default: a list of its own. */
	runs?: WorkerRun[];
	/** Receives what reaches it. Default: a list of its own. */
	arrivals?: WorkerArrival[];
	/** Number of the last event of a stream. Default: `events`. */
	eventsOf?: (run: WorkerRun) => number;
	/** Text of an event. Default: names its number. */
	eventOf?: (run: WorkerRun, event: number) => string;
	/** Events of a stream. Default 20. */
	events?: number;
	/** Time for which it reads the prompt of a generation before it begins the answer, in milliseconds. Default 0. */
	promptMilliseconds?: number;
	/** Time between two events, in milliseconds. Default 10. */
	eventMilliseconds?: number;
	/** Time until a report is answered, in milliseconds. Default 0. */
	reportMilliseconds?: number;
	/** Time of a plain call, in milliseconds. Default 2. */
	callMilliseconds?: number;
	/** Whether its process ends when it begins a run; in a generation, once it has read the prompt. Default never. */
	endsUnder?: (run: WorkerRun) => boolean;
	/** Called when its process has ended under a run. Default does nothing. */
	onEnd?: (run: WorkerRun) => void;
};

/** Returns options with the defaults of those that are absent. */
export function withDefaults(options: WorkerStandInOptions): Required<WorkerStandInOptions> {
	return {
		events: 20,
		promptMilliseconds: 0,
		eventMilliseconds: 10,
		callMilliseconds: 2,
		reportMilliseconds: 0,
		advertised: options.listen,
		availabilityZone: 'zone-a',
		version: 'v1',
		answerOf: ({worker}) => `answer of ${worker}`,
		eventOf: (_run, event) => `token ${event}`,
		eventsOf: () => options.events ?? 20,
		endsUnder: () => false,
		onEnd: () => undefined,
		runs: [],
		arrivals: [],
		...options,
	};
}
