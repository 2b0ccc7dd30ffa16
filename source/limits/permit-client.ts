/**
 * Requests permits from the gateway that grants them.
 *
 * @module
 */
import {ageOf, type ClockReading} from '../clocks/mod.ts';
import {startIoTimeout} from '../supervision/io-timeout.ts';
import {type Logger} from '../telemetry/mod.ts';
import {type PermitHolder} from './endpoint-limit.ts';
import {type LimitedEndpoint} from './limited-endpoint.ts';
import {
	permitLifetimeMilliseconds, type LimitObservation, type PermitReply, type PermitRequest,
} from './permit-message.ts';

/**
 * Decision on one request for a permit at the gateway that needs it: `late` if it was granted after the caller's request had stopped waiting,
 * and is kept for the next one; `lifted` if none is needed any more; `unknown` if no gateway that grants permits has answered.
 */
export type PermitOutcome = 'granted' | 'late' | 'refused' | 'lifted' | 'unknown';

/** A request for a permit that was sent. */
type PendingRequest = {
	importance: number;
	/** Reading before it was sent. */
	requestedAt: ClockReading;
	/** The gateway that was asked. */
	holder: PermitHolder | undefined;
	/** Whether a caller's request still waits for the permit. */
	isAwaited: boolean;
};

/** Options of {@linkcode PermitClient}. */
export type PermitClientOptions = {
	/** This gateway. */
	self: PermitHolder;
	/** Answers a request at this gateway. */
	answer: (request: PermitRequest) => PermitReply;
	/** Sends a request to the gateway at an address; returns undefined if it does not answer in time. */
	askHolder: (address: string, request: PermitRequest) => Promise<PermitReply | undefined>;
	/** Called when no gateway that grants the permits of an endpoint has answered. */
	onUnknownHolder: (limited: LimitedEndpoint) => void;
	/** Called when the limit of an endpoint is known to have been lifted at a monotonic time, in milliseconds. */
	onLifted: (limited: LimitedEndpoint, liftedAt: number) => void;
	/** Counts a decision for metrics. */
	count: (outcome: PermitOutcome) => void;
	logger: Logger;
	readClock: () => ClockReading;
};

/** Maximum time for which a caller's request waits for a permit, in milliseconds. */
const maximumWaitMilliseconds = 60;

/** Time until the next request for a permit if no gateway that grants them has answered, in milliseconds; doubles each time. */
const unknownHolderMilliseconds = 150;

/** Maximum of that time, in milliseconds. */
const maximumUnknownHolderMilliseconds = 2000;

/**
 * Requests permits, and remembers refusals at the limited endpoint.
 *
 * @example
 * ```ts
 * const granted = await client.requestPermit(limited, 1);
 * ```
 */
export class PermitClient {
	readonly #options: PermitClientOptions;

	constructor(options: PermitClientOptions) {
		this.#options = options;
	}

	/**
	 * Requests one permit.
	 *
	 * A caller's request waits for a short time only. A permit that arrives later is kept for the next request, and none is requested until then.
	 *
	 * @param limited The endpoint.
	 * @param importance Importance of the request; 0 is the highest.
	 * @returns Whether a request may be sent now.
	 */
	async requestPermit(limited: LimitedEndpoint, importance: number): Promise<boolean> {
		const requestedAt = this.#options.readClock();
		if (limited.isRefused(importance, requestedAt.steady)) {
			return false;
		}

		if (limited.takeLatePermit(requestedAt)) {
			return true;
		}

		const request: PendingRequest = {
			importance, requestedAt, holder: limited.holder, isAwaited: true,
		};
		return new Promise(resolve => {
			const timeout = startIoTimeout(maximumWaitMilliseconds, () => {
				this.#stopWaiting(limited, request);
				resolve(false);
			});
			void this.#ask(limited, importance).then(reply => {
				timeout.clear();
				resolve(this.#applyReply(limited, request, reply));
			});
		});
	}

	/** Reports a change of the limit to the gateway that grants the permits, which publishes it; at the latest with the next request for a permit. */
	async report(limited: LimitedEndpoint, {requestsPerSecond, ageMilliseconds}: LimitObservation): Promise<void> {
		limited.unreportedChange = {requestsPerSecond, seenAt: this.#options.readClock().steady - ageMilliseconds};
		await this.#ask(limited);
	}

	/** Sends a request with the change that the holder may not know yet. */
	async #ask(limited: LimitedEndpoint, importance?: number): Promise<PermitReply | undefined> {
		const change = limited.unreportedChange;
		const {steady} = this.#options.readClock();
		const reply = await this.#send(limited, {
			endpoint: limited.endpoint,
			importance,
			change: change && {requestsPerSecond: change.requestsPerSecond, ageMilliseconds: steady - change.seenAt},
		});
		if (reply?.holds && limited.unreportedChange === change) {
			limited.unreportedChange = undefined;
		}

		return reply;
	}

	async #send(limited: LimitedEndpoint, request: PermitRequest): Promise<PermitReply | undefined> {
		const {self, answer, askHolder, readClock} = this.#options;
		const {holder, held} = limited;
		if (held?.isValid(readClock())) {
			return answer(request);
		}

		return holder === undefined || holder.name === self.name ? undefined : askHolder(holder.peers, request);
	}

	/** Refuses requests until the reply arrives or cannot be used any more. */
	#stopWaiting(limited: LimitedEndpoint, request: PendingRequest): void {
		const until = request.requestedAt.steady + permitLifetimeMilliseconds;
		request.isAwaited = false;
		limited.refuse({until, importance: 0, returnAt: until});
	}

	/** Applies the reply to a request, or that there was none; returns whether a request may be sent now. */
	#applyReply(limited: LimitedEndpoint, request: PendingRequest, reply: PermitReply | undefined): boolean {
		const now = this.#options.readClock();
		const outcome = outcomeOf(limited, {request, reply}, now);
		const handlers: Record<PermitOutcome, () => void> = {
			granted() {
				limited.unanswered = 0;
			},
			late() {
				limited.unanswered = 0;
				limited.keepLatePermit(request.requestedAt);
				limited.allow();
			},
			refused() {
				limited.unanswered = 0;
				limited.refuse({until: now.steady + reply!.askAgainMilliseconds, importance: request.importance, returnAt: now.steady + reply!.returnInMilliseconds});
			},
			lifted: () => {
				limited.allow();
				this.#options.onLifted(limited, now.steady - reply!.liftedMillisecondsAgo!);
			},
			unknown: () => {
				this.#recordUnknownHolder(limited, request, now);
			},
		};
		handlers[outcome]();
		this.#recordDecision(limited, {request, reply, outcome}, now);
		return outcome === 'granted' || outcome === 'lifted';
	}

	#recordUnknownHolder(limited: LimitedEndpoint, {holder}: PendingRequest, now: ClockReading): void {
		if (limited.holder !== holder) {
			// Another holder has become known meanwhile, and has not been asked yet.
			limited.allow();
			return;
		}

		limited.unanswered += 1;
		const until = now.steady + Math.min(maximumUnknownHolderMilliseconds, unknownHolderMilliseconds * (2 ** (limited.unanswered - 1)));
		limited.refuse({until, importance: 0, returnAt: until});
		this.#options.onUnknownHolder(limited);
	}

	#recordDecision(limited: LimitedEndpoint, {request, reply, outcome}: {request: PendingRequest; reply: PermitReply | undefined; outcome: PermitOutcome}, now: ClockReading): void {
		this.#options.count(outcome);
		this.#options.logger.info('permit requested', {
			endpoint: limited.endpoint.id,
			outcome,
			importance: request.importance,
			replyMilliseconds: Math.round(now.steady - request.requestedAt.steady),
			requestsPerSecond: reply?.holds ? reply.requestsPerSecond : limited.requestsPerSecond,
			limitAgeMilliseconds: Math.round(now.steady - limited.namedAt),
			holder: request.holder?.name,
			askAgainMilliseconds: reply && Math.round(reply.askAgainMilliseconds),
			returnInMilliseconds: reply && Math.round(reply.returnInMilliseconds),
		});
	}
}

/** Returns the decision that follows from the reply to a request, or from its absence. */
function outcomeOf(limited: LimitedEndpoint, {request, reply}: {request: PendingRequest; reply: PermitReply | undefined}, now: ClockReading): PermitOutcome {
	const {requestedAt, isAwaited} = request;
	if (reply?.holds) {
		const isGranted = reply.granted && ageOf(requestedAt, now) < permitLifetimeMilliseconds;
		const grantedOutcome = isAwaited ? 'granted' : 'late';
		return isGranted ? grantedOutcome : 'refused';
	}

	// A response that named the limit after it was lifted names a new one.
	const isLifted = reply?.liftedMillisecondsAgo !== undefined && limited.observedAt <= requestedAt.steady - reply.liftedMillisecondsAgo;
	return isLifted ? 'lifted' : 'unknown';
}
