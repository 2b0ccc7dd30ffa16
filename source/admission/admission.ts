/**
 * Decides when a request may start.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {type Refusal} from '../answers/mod.ts';
import {ServiceAdmission, type Waiting} from './service-admission.ts';

/** A request that wants to start. */
export type AdmissionRequest = {
	workspace: string;
	/** Share of the workspace relative to the others. */
	weight: number;
	service: string;
	/** Tokens of prompt and expected output; 1 for a plain call. */
	tokens: number;
	/** Digest of workspace, service and body. */
	requestDigest: string;
	/** Wall-clock time after which an answer is of no use, in milliseconds. */
	deadline: number;
	/** Whether it continues work that has started; it then goes before new work and is never refused. Default false. */
	started?: boolean;
};

/** Leave to start; must be released once the work has ended. */
export type Permit = {
	/** Gives the capacity back. */
	release(): void;
};

/** Options of {@linkcode Admission}. */
export type AdmissionOptions = {
	/** Whether requests are held back at all. Default true. */
	enabled?: boolean;
	/** Requests that wait for one service at most. Default 2,000. */
	queuedRequests?: number;
	/** Time that a request waits at most, in milliseconds; shorter than the silence after which callers try another entry. Default 2,500. */
	queueMilliseconds?: number;
	/** Returns the tokens that may be in progress at a service. Default without limit. */
	capacityOf?: (service: string) => number;
	/** Returns the refusal of a request that must not run at all. Default none. */
	refusalOf?: (requestDigest: string, now: number) => Refusal | undefined;
	/** Returns the wall-clock time, in milliseconds. Default the system's. */
	wallClock?: () => number;
	/** Returns a random number from 0 to 1. Default the system's. */
	random?: () => number;
};

/** Time between two looks at the requests that wait, in milliseconds. */
const sweepMilliseconds = 100;

/**
 * Admits requests to services, in fair order over workspaces.
 *
 * The permit names no endpoint: placement spreads admitted work by its own exact counts and passes over full endpoints,
 * while admission bounds the sum over the endpoints that answer. When endpoints are lost, the sum falls below what is in
 * progress, and continuations go on before new work starts.
 *
 * @example
 * ```ts
 * const permit = await admission.enter(request, Date.now(), signal);
 * ```
 */
export class Admission {
	readonly #options: Required<AdmissionOptions>;
	readonly #services = new Map<string, ServiceAdmission>();
	#sweeping = false;

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
	 * Waits until a request may start.
	 *
	 * @param request The request.
	 * @param now Wall-clock time, in milliseconds.
	 * @param signal Ends the wait when the caller is gone.
	 * @returns A permit, or the answer to a request that cannot start in time.
	 */
	async enter(request: AdmissionRequest, now: number, signal: AbortSignal): Promise<Result<Permit, Refusal>> {
		const refusal = this.#options.refusalOf(request.requestDigest, now);
		if (refusal) {
			return err(refusal);
		}

		if (!this.#options.enabled) {
			return ok(uncountedPermit);
		}

		if (request.started) {
			const service = this.#serviceOf(request.service);
			service.resume(request.tokens, now);
			return ok(this.#permit(service, request.tokens));
		}

		return this.#wait(request, now, signal);
	}

	/** Requests that wait and tokens in progress, by service. */
	status(): Array<{service: string; waiting: number; tokensInProgress: number; capacity: number}> {
		return [...this.#services].map(([service, {waiting, tokensInProgress}]) => ({
			service, waiting, tokensInProgress, capacity: this.#options.capacityOf(service),
		}));
	}

	async #wait(request: AdmissionRequest, now: number, signal: AbortSignal): Promise<Result<Permit, Refusal>> {
		const service = this.#serviceOf(request.service);
		return new Promise(resolve => {
			const finish = (outcome: Result<Permit, Refusal>) => {
				signal.removeEventListener('abort', onAbort);
				resolve(outcome);
			};

			const waiting: Waiting = {
				flow: request.workspace,
				weight: request.weight,
				tokens: request.tokens,
				limitAt: Math.min(request.deadline, now + this.#options.queueMilliseconds),
				admit: () => {
					finish(ok(this.#permit(service, request.tokens)));
				},
				refuse(refusal) {
					finish(err(refusal));
				},
			};
			const onAbort = () => {
				if (service.leave(waiting)) {
					finish(err(callerGone));
				}
			};

			signal.addEventListener('abort', onAbort, {once: true});
			service.enter(waiting, now);
			this.#startSweeping();
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
		let service = this.#services.get(name);
		if (!service) {
			service = new ServiceAdmission({
				service: name,
				queuedRequests: this.#options.queuedRequests,
				capacity: () => this.#options.capacityOf(name),
				random: this.#options.random,
			});
			this.#services.set(name, service);
		}

		return service;
	}

	/** Looks at the waiting requests again and again while there are any. */
	#startSweeping(): void {
		if (this.#sweeping || this.#waiting() === 0) {
			return;
		}

		this.#sweeping = true;
		setTimeout(() => {
			this.#sweeping = false;
			for (const service of this.#services.values()) {
				service.sweep(this.#options.wallClock());
			}

			this.#startSweeping();
		}, sweepMilliseconds);
	}

	#waiting(): number {
		let waiting = 0;
		for (const service of this.#services.values()) {
			waiting += service.waiting;
		}

		return waiting;
	}
}

/** Permit of a router that admits everything. */
const uncountedPermit: Permit = {
	release() {
		// Nothing is counted.
	},
};

/** Outcome of a request whose caller has gone; nobody reads it. */
const callerGone: Refusal = {
	status: 503, code: 'overloaded', message: 'The caller has gone.', run: 'no',
};
