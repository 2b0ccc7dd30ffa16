/**
 * Watches the attempts of requests for endpoints that die under them.
 *
 * @module
 */
import {type Refusal} from '../../answers/mod.ts';
import {type EngineClient} from '../../endpoints/mod.ts';
import {pause} from '../../supervision/mod.ts';
import {type Logger} from '../../telemetry/mod.ts';
import {type Death, type Run} from './deaths.ts';
import {type RefusedRequests} from './refused-requests.ts';
import {
	lookMilliseconds, type Suspects,
} from './suspects.ts';
import {type TrialClaims} from './trial-claims.ts';

/** Options of {@linkcode SuspectWatch}. */
export type SuspectWatchOptions = {
	suspects: Suspects;
	refused: RefusedRequests;
	claims: TrialClaims;
	engines: Pick<EngineClient, 'load'>;
	logger: Logger;
	/** Returns the addresses of a service's endpoints. */
	endpointsOf: (service: string) => readonly string[];
	/** Returns the wall-clock time, in milliseconds. */
	wallClock: () => number;
};

/** How an attempt ended, as far as it says something about the endpoint's process. */
export type AttemptOutcome = {
	step: 'start' | 'resume';
	kind: string;
	/** Whether the connection was refused, so that no process listened. */
	connectionRefused?: boolean;
	/** Whether the endpoint's process did not know the generation. */
	forgotten?: boolean;
	/** Whether the endpoint closed or reset the connection before it answered. */
	reset?: boolean;
};

/** Endpoints asked on the host and in the zone of a death. */
const witnessCount = 3;

/** Time for such an endpoint to answer, in milliseconds. */
const witnessMilliseconds = 600;

/** Questions to an endpoint that has reset a connection, until it is known whether its process is gone. */
const goneQuestions = 3;

/** Time between two of them, in milliseconds. */
const goneMilliseconds = 50;

/** Time for which an endpoint that another router's suspect holds is passed over, in milliseconds. */
const takenMilliseconds = 500;

/** Longest wait for a read of the table before a suspect starts again, in milliseconds. */
const readMilliseconds = 500;

/**
 * Gives each request a trial that follows its attempts.
 *
 * @example
 * ```ts
 * const trial = watch.follow(requestDigest, service);
 * ```
 */
export class SuspectWatch {
	readonly options: SuspectWatchOptions;

	constructor(options: SuspectWatchOptions) {
		this.options = options;
	}

	/** Follows one request. */
	follow(digest: string, service: string): Trial {
		return new Trial(this, digest, service);
	}

	/** Returns the answer to a request that must not run. */
	refusalOf(digest: string, now: number): Refusal | undefined {
		return this.options.suspects.isConvicted(digest, now) ? convictedRefusal(false) : undefined;
	}

	/** Looks at the endpoints beside a death; when none of them lives, the death accuses nobody. */
	async look(death: Death, service: string): Promise<void> {
		const {suspects, logger} = this.options;
		await pause(lookMilliseconds);
		const {host, zone} = suspects.witnesses(death, this.options.endpointsOf(service));
		const [hostLives, zoneLives] = await Promise.all([this.#anyLives(host), this.#anyLives(zone)]);
		death.common = !hostLives || !zoneLives;
		logger.info('endpoint died under requests', {endpoint: death.endpoint, common: death.common});
	}

	/** Whether one of some endpoints answers; true when there are none to ask. */
	async #anyLives(endpoints: string[]): Promise<boolean> {
		const asked = endpoints.slice(0, witnessCount);
		const answers = await Promise.all(asked.map(async endpoint => Promise.race([
			this.options.engines.load(endpoint).then(load => load.isOk() || load.error.kind === 'refused'),
			pause(witnessMilliseconds).then(() => false),
		])));
		return asked.length === 0 || answers.includes(true);
	}
}

/** The attempts of one request, seen as a possible cause of endpoints' deaths. */
export class Trial {
	readonly #watch: SuspectWatch;
	readonly #digest: string;
	readonly #service: string;
	readonly #runs = new Map<string, Run>();
	readonly #lost = new Set<string>();
	#ran = false;
	#attempted = false;
	#mustRead = true;
	/** Endpoints that suspects of other routers hold, and when to ask again. */
	readonly #taken = new Map<string, number>();
	#claimed: string | undefined;

	constructor(watch: SuspectWatch, digest: string, service: string) {
		this.#watch = watch;
		this.#digest = digest;
		this.#service = service;
	}

	/** Waits for a verdict that is pending; returns the answer to a request that must not go on. */
	async verdict(): Promise<Refusal | undefined> {
		const {suspects, refused, wallClock} = this.#watch.options;
		const wait = suspects.millisecondsUntilSettled(this.#digest, wallClock());
		if (wait !== undefined) {
			await pause(wait);
		}

		const convicted = suspects.isConvicted(this.#digest, wallClock());
		if (!convicted && this.#mustRead && suspects.isSuspect(this.#digest, wallClock())) {
			this.#mustRead = false;
			await Promise.race([refused.read(this.#digest), pause(readMilliseconds)]);
		}

		return suspects.isConvicted(this.#digest, wallClock()) ? convictedRefusal(this.#ran) : undefined;
	}

	/** Returns the endpoints to leave out, the most careful set first. */
	avoidance(excluded: ReadonlySet<string>): Array<ReadonlySet<string>> {
		const {suspects, endpointsOf, wallClock} = this.#watch.options;
		const now = wallClock();
		const taken = [...this.#taken].filter(([, until]) => until > now).map(([endpoint]) => endpoint);
		return suspects.avoidance(this.#digest, () => endpointsOf(this.#service), now)
			.map(avoided => avoided.size + taken.length === 0 ? excluded : new Set([...excluded, ...avoided, ...taken]));
	}

	/** Claims an endpoint if the request is a suspect; returns false when a suspect of another router holds it. */
	async claim(endpoint: string): Promise<boolean> {
		const {suspects, claims, wallClock} = this.#watch.options;
		if (!suspects.isSuspect(this.#digest, wallClock())) {
			return true;
		}

		if (await claims.claim(endpoint, this.#digest)) {
			this.#claimed = endpoint;
			return true;
		}

		this.#taken.set(endpoint, wallClock() + takenMilliseconds);
		return false;
	}

	/** Records that an attempt goes to an endpoint; one that resumes belongs to the run before it, or to the one that a cursor shows. */
	attempting(endpoint: string, step: AttemptOutcome['step']): void {
		const {suspects} = this.#watch.options;
		const continuesFromCursor = step === 'resume' && !this.#attempted && !suspects.hasKilled(this.#digest, endpoint);
		this.#attempted = true;
		if (step === 'start' || continuesFromCursor) {
			this.#forget(endpoint);
			this.#runs.set(endpoint, suspects.start(this.#digest, endpoint));
		}
	}

	/** Records a token of an endpoint. */
	token(endpoint: string): void {
		const run = this.#runs.get(endpoint);
		if (run) {
			this.#ran = true;
			if (this.#watch.options.suspects.progressed(run)) {
				this.#releaseClaim(endpoint);
			}
		}
	}

	/** Records how an attempt ended. */
	async attempted(endpoint: string, outcome: AttemptOutcome): Promise<void> {
		if (await this.#showsDeath(endpoint, outcome)) {
			this.#died(endpoint);
		}

		if (outcome.kind === 'lost') {
			this.#lost.add(endpoint);
		} else if (outcome.kind !== 'silent') {
			this.#leave(endpoint);
		}
	}

	/** Ends the trial with the request. */
	close(): void {
		for (const endpoint of this.#runs.keys()) {
			this.#leave(endpoint);
		}

		if (this.#claimed !== undefined) {
			this.#releaseClaim(this.#claimed);
		}
	}

	/** A silent or reset connection proves nothing; a process that no longer listens, or has forgotten the generation, does. */
	async #showsDeath(endpoint: string, {step, connectionRefused, forgotten, reset}: AttemptOutcome): Promise<boolean> {
		const isLost = step === 'start' || this.#lost.has(endpoint);
		if (step === 'resume' && (connectionRefused === true || (forgotten === true && isLost))) {
			return true;
		}

		return reset === true && isLost && this.#isGone(endpoint);
	}

	/** Whether no process listens any more; one that is just ending may still reset a few connections. */
	async #isGone(endpoint: string): Promise<boolean> {
		for (let question = 1; question <= goneQuestions; question += 1) {
			const load = await this.#watch.options.engines.load(endpoint);
			if (load.isOk() || load.error.kind !== 'unreachable') {
				return false;
			}

			if (load.error.connectionRefused) {
				return true;
			}

			await pause(question < goneQuestions ? goneMilliseconds : 0);
		}

		return false;
	}

	#died(endpoint: string): void {
		const {suspects, wallClock} = this.#watch.options;
		const run = this.#runs.get(endpoint);
		const death = run && suspects.died(run, wallClock());
		this.#ran = true;
		this.#mustRead = true;
		if (death) {
			void this.#watch.look(death, this.#service);
		}
	}

	#leave(endpoint: string): void {
		this.#forget(endpoint);
		this.#releaseClaim(endpoint);
	}

	#forget(endpoint: string): void {
		const run = this.#runs.get(endpoint);
		if (run) {
			this.#watch.options.suspects.end(run);
			this.#runs.delete(endpoint);
			this.#lost.delete(endpoint);
		}
	}

	#releaseClaim(endpoint: string): void {
		if (this.#claimed === endpoint) {
			this.#claimed = undefined;
			void this.#watch.options.claims.release(endpoint, this.#digest);
		}
	}
}

function convictedRefusal(ran: boolean): Refusal {
	return {
		status: 422,
		code: 'request_convicted',
		message: 'The request ends the process of each endpoint that runs it, and is refused.',
		run: ran ? 'yes' : 'no',
	};
}
