/**
 * Limits the requests that run at the same time and queues the others.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {type Refusal} from '../answers/mod.ts';
import {ServiceAdmission, type QueuedRequest} from './service-admission.ts';

/** A request to be admitted. */
export type AdmissionRequest = {
	workspace: string;
	/** Weight of the workspace in fair queueing, relative to other workspaces. */
	weight: number;
	service: string;
	/** Number of prompt tokens and expected output tokens; 1 for a plain call. */
	tokens: number;
	/** Digest of workspace, service and body. */
	requestDigest: string;
	/** Wall-clock time after which the caller no longer needs the answer, in milliseconds. */
	deadline: number;
	/** Whether it continues work that has already started; a continuation is admitted at once, ahead of new work. Default false. */
	isContinuation?: boolean;
};

/** Capacity granted to an admitted request; must be released when the request has ended. */
export type Permit = {
	/** Returns the capacity; further calls have no effect. */
	release(): void;
};

/** Options of {@linkcode Admission}. */
export type AdmissionOptions = {
	/** Whether admission is limited; if false, every request is admitted at once. Default true. */
	enabled?: boolean;
	/** Maximum number of queued requests for each service. Default 2,000. */
	queuedRequests?: number;
	/** Maximum time in the queue, in milliseconds; shorter than the time without an answer after which callers try another router. Default 2,500. */
	queueMilliseconds?: number;
	/** Returns the maximum number of tokens in progress at a service. Default unlimited. */
	capacityOf?: (service: string) => number;
	/** Returns the refusal of a request that must not run, such as a blocked one. Default none. */
	refusalOf?: (requestDigest: string, now: number) => Refusal | undefined;
	/** Returns the wall-clock time, in milliseconds. Default `Date.now`. */
	wallClock?: () => number;
	/** Returns a random number from 0 to 1. Default `Math.random`. */
	random?: () => number;
};

/** Interval between two sweeps of the queued requests, in milliseconds. */
const sweepMilliseconds = 100;

/**
 * Admits requests to services, with fair queueing between workspaces.
 *
 * A permit is not tied to an endpoint: admission limits the total over the available endpoints, while placement
 * distributes admitted work by its own exact counts and skips full endpoints. When endpoints are lost, the capacity falls
 * below the tokens in progress; continuations are still admitted, and new requests wait.
 *
 * @example
 * ```ts
 * const permit = await admission.acquire(request, Date.now(), signal);
 * ```
 */
export class Admission {
	readonly #options: Required<AdmissionOptions>;
	readonly #services = new Map<string, ServiceAdmission>();
	#sweepScheduled = false;

	constructor(options: AdmissionOptions = {}) {
		this.#options = {
			enabled: true,
			queuedRequests: 2000,
			queueMilliseconds: 2500,
			capacityOf: () => Number.POSITIVE_INFINITY,
			refusalOf: () => undefined,
			wallClock: () => Date.now(),
			random: () => Math.random(),
			...options,
		};
	}

	/**
	 * Waits until a request is admitted.
	 *
	 * @param request The request.
	 * @param now Wall-clock time, in milliseconds.
	 * @param signal Cancels the wait when the caller disconnects.
	 * @returns A permit, or the refusal of a request that is blocked or cannot start in time.
	 */
	async acquire(request: AdmissionRequest, now: number, signal: AbortSignal): Promise<Result<Permit, Refusal>> {
		const refusal = this.#options.refusalOf(request.requestDigest, now);
		if (refusal) {
			return err(refusal);
		}

		if (!this.#options.enabled) {
			return ok(uncountedPermit);
		}

		if (request.isContinuation) {
			const service = this.#serviceOf(request.service);
			service.resume(request.tokens, now);
			return ok(this.#permit(service, request.tokens));
		}

		return this.#wait(request, now, signal);
	}

	/** Returns the number of queued requests, the tokens in progress and the capacity of each service. */
	status(): Array<{service: string; waiting: number; tokensInProgress: number; capacity: number}> {
		return [...this.#services].map(([service, {waiting, tokensInProgress}]) => ({
			service, waiting, tokensInProgress, capacity: this.#options.capacityOf(service),
		}));
	}

	async #wait(request: AdmissionRequest, now: number, signal: AbortSignal): Promise<Result<Permit, Refusal>> {
		const service = this.#serviceOf(request.service);
		return new Promise(resolve => {
			const finish = (outcome: Result<Permit, Refusal>) => {
				signal.removeEventListener('abort', onDisconnect);
				resolve(outcome);
			};

			const queued: QueuedRequest = {
				flow: request.workspace,
				weight: request.weight,
				tokens: request.tokens,
				waitDeadline: Math.min(request.deadline, now + this.#options.queueMilliseconds),
				admit: () => {
					finish(ok(this.#permit(service, request.tokens)));
				},
				refuse(refusal) {
					finish(err(refusal));
				},
			};
			const onDisconnect = () => {
				if (service.cancel(queued)) {
					finish(err(callerDisconnected));
				}
			};

			signal.addEventListener('abort', onDisconnect, {once: true});
			service.submit(queued, now);
			this.#scheduleSweep();
		});
	}

	#permit(service: ServiceAdmission, tokens: number): Permit {
		const startedAt = this.#options.wallClock();
		let released = false;
		return {
			release: () => {
				if (!released) {
					released = true;
					service.release(tokens, startedAt, this.#options.wallClock());
				}
			},
		};
	}

	#serviceOf(name: string): ServiceAdmission {
		let admission = this.#services.get(name);
		if (!admission) {
			admission = new ServiceAdmission({
				service: name,
				queuedRequests: this.#options.queuedRequests,
				capacity: () => this.#options.capacityOf(name),
				random: this.#options.random,
			});
			this.#services.set(name, admission);
		}

		return admission;
	}

	/** Schedules the next sweep if requests are queued and none is scheduled. */
	#scheduleSweep(): void {
		if (this.#sweepScheduled || this.#countWaiting() === 0) {
			return;
		}

		this.#sweepScheduled = true;
		setTimeout(() => {
			this.#sweepScheduled = false;
			for (const service of this.#services.values()) {
				service.sweep(this.#options.wallClock());
			}

			this.#scheduleSweep();
		}, sweepMilliseconds);
	}

	#countWaiting(): number {
		let waiting = 0;
		for (const service of this.#services.values()) {
			waiting += service.waiting;
		}

		return waiting;
	}
}

/** Permit of a router whose admission is disabled. */
const uncountedPermit: Permit = {
	release() {
		// No capacity was taken.
	},
};

/** Outcome of a queued request whose caller disconnected; it is not sent to anyone. */
const callerDisconnected: Refusal = {
	status: 503, code: 'overloaded', message: 'The caller disconnected.', run: 'no',
};
