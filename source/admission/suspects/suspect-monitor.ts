/**
 * Monitors the attempts of requests for crashes of their endpoints.
 *
 * @module
 */
import {type Refusal} from '../../answers/mod.ts';
import {type EngineClient} from '../../endpoints/mod.ts';
import {pause} from '../../supervision/mod.ts';
import {type Logger} from '../../telemetry/mod.ts';
import {type Crash, type Run} from './crashes.ts';
import {type BlockedRequests} from './blocked-requests.ts';
import {
	neighborCheckDelayMilliseconds, type Suspects,
} from './suspects.ts';
import {type EndpointClaims} from './endpoint-claims.ts';

/** Options of {@linkcode SuspectMonitor}. */
export type SuspectMonitorOptions = {
	suspects: Suspects;
	blockedRequests: BlockedRequests;
	claims: EndpointClaims;
	engines: Pick<EngineClient, 'load'>;
	logger: Logger;
	/** Returns the addresses of a service's endpoints. */
	endpointsOf: (service: string) => readonly string[];
	/** Returns the wall-clock time, in milliseconds. */
	wallClock: () => number;
};

/** How an attempt ended, as far as it indicates the state of the endpoint's process. */
export type AttemptOutcome = {
	step: 'start' | 'resume';
	/** Kind of the end of the attempt, such as `lost` (the stream broke off) or `silent` (the endpoint sent nothing in time). */
	kind: string;
	/** Whether the connection was refused, because no process was listening. */
	connectionRefused?: boolean;
	/** Whether the endpoint's process does not know the generation. */
	forgotten?: boolean;
	/** Whether the endpoint closed or reset the connection before answering. */
	reset?: boolean;
};

/** Maximum number of endpoints queried on the host of a crash, and also in its availability zone. */
const neighborsQueried = 3;

/** Time limit for the answer of a neighbor, in milliseconds. */
const neighborTimeoutMilliseconds = 600;

/** Maximum number of queries to find out whether the process of an endpoint that reset a connection has exited. */
const exitProbes = 3;

/** Pause between two of these queries, in milliseconds. */
const exitProbePauseMilliseconds = 50;

/** Time for which an endpoint claimed by another router's suspect is skipped, in milliseconds. */
const claimedElsewhereMilliseconds = 500;

/** Maximum wait for a read of the table before a suspect is retried, in milliseconds. */
const tableReadTimeoutMilliseconds = 500;

/**
 * Creates a {@linkcode MonitoredRequest} for each request.
 *
 * @example
 * ```ts
 * const monitored = monitor.monitor(requestDigest, service);
 * ```
 */
export class SuspectMonitor {
	readonly options: SuspectMonitorOptions;

	constructor(options: SuspectMonitorOptions) {
		this.options = options;
	}

	/** Starts to monitor a request. */
	monitor(digest: string, service: string): MonitoredRequest {
		return new MonitoredRequest(this, digest, service);
	}

	/** Returns the refusal of a blocked request. */
	refusalOf(digest: string, now: number): Refusal | undefined {
		return this.options.suspects.isBlocked(digest, now) ? blockedRefusal(false) : undefined;
	}

	/** Queries the neighbors of a crashed endpoint; if none on its host or in its zone answers, the crash is a correlated failure and counts against no request. */
	async checkNeighbors(crash: Crash, service: string): Promise<void> {
		const {suspects, logger} = this.options;
		await pause(neighborCheckDelayMilliseconds);
		const {host, zone} = suspects.neighbors(crash, this.options.endpointsOf(service));
		const [hostAnswers, zoneAnswers] = await Promise.all([this.#anyAnswers(host), this.#anyAnswers(zone)]);
		crash.correlated = !hostAnswers || !zoneAnswers;
		logger.info('endpoint crashed while running requests', {endpoint: crash.endpoint, common: crash.correlated});
	}

	/** Whether at least one of the endpoints answers; true if there are none. */
	async #anyAnswers(endpoints: string[]): Promise<boolean> {
		const queried = endpoints.slice(0, neighborsQueried);
		const answers = await Promise.all(queried.map(async endpoint => Promise.race([
			this.options.engines.load(endpoint).then(load => load.isOk() || load.error.kind === 'refused'),
			pause(neighborTimeoutMilliseconds).then(() => false),
		])));
		return queried.length === 0 || answers.includes(true);
	}
}

/** The attempts of one request, monitored as a possible cause of crashes. */
export class MonitoredRequest {
	readonly #monitor: SuspectMonitor;
	readonly #digest: string;
	readonly #service: string;
	readonly #runs = new Map<string, Run>();
	readonly #lostStreams = new Set<string>();
	#hasRun = false;
	#hasAttempted = false;
	#mustReadTable = true;
	/** Endpoints claimed by suspects of other routers, with the time at which each may be tried again. */
	readonly #claimedElsewhere = new Map<string, number>();
	#claimedEndpoint: string | undefined;

	constructor(monitor: SuspectMonitor, digest: string, service: string) {
		this.#monitor = monitor;
		this.#digest = digest;
		this.#service = service;
	}

	/** Waits for a pending decision whether to block the request; returns the refusal if it is blocked. */
	async waitForDecision(): Promise<Refusal | undefined> {
		const {suspects, blockedRequests, wallClock} = this.#monitor.options;
		const wait = suspects.millisecondsUntilDecision(this.#digest, wallClock());
		if (wait !== undefined) {
			await pause(wait);
		}

		const blocked = suspects.isBlocked(this.#digest, wallClock());
		if (!blocked && this.#mustReadTable && suspects.isSuspect(this.#digest, wallClock())) {
			this.#mustReadTable = false;
			await Promise.race([blockedRequests.read(this.#digest), pause(tableReadTimeoutMilliseconds)]);
		}

		return suspects.isBlocked(this.#digest, wallClock()) ? blockedRefusal(this.#hasRun) : undefined;
	}

	/** Returns the sets of endpoints to exclude, the strictest set first. */
	exclusions(excluded: ReadonlySet<string>): Array<ReadonlySet<string>> {
		const {suspects, endpointsOf, wallClock} = this.#monitor.options;
		const now = wallClock();
		const claimedElsewhere = [...this.#claimedElsewhere].filter(([, until]) => until > now).map(([endpoint]) => endpoint);
		return suspects.exclusions(this.#digest, () => endpointsOf(this.#service), now)
			.map(suspectExclusions => suspectExclusions.size + claimedElsewhere.length === 0 ? excluded : new Set([...excluded, ...suspectExclusions, ...claimedElsewhere]));
	}

	/** Claims an endpoint if the request is a suspect; returns false if a suspect of another router has claimed it. */
	async claim(endpoint: string): Promise<boolean> {
		const {suspects, claims, wallClock} = this.#monitor.options;
		if (!suspects.isSuspect(this.#digest, wallClock())) {
			return true;
		}

		if (await claims.claim(endpoint, this.#digest)) {
			this.#claimedEndpoint = endpoint;
			return true;
		}

		this.#claimedElsewhere.set(endpoint, wallClock() + claimedElsewhereMilliseconds);
		return false;
	}

	/** Records the start of an attempt; a resumption belongs to the preceding run, or to the run identified by the caller's cursor. */
	recordAttemptStart(endpoint: string, step: AttemptOutcome['step']): void {
		const {suspects} = this.#monitor.options;
		const continuesFromCursor = step === 'resume' && !this.#hasAttempted && !suspects.hasCrashed(this.#digest, endpoint);
		this.#hasAttempted = true;
		if (step === 'start' || continuesFromCursor) {
			this.#endRun(endpoint);
			this.#runs.set(endpoint, suspects.startRun(this.#digest, endpoint));
		}
	}

	/** Records a token produced by an endpoint. */
	recordToken(endpoint: string): void {
		const run = this.#runs.get(endpoint);
		if (run) {
			this.#hasRun = true;
			if (this.#monitor.options.suspects.recordToken(run)) {
				this.#releaseClaim(endpoint);
			}
		}
	}

	/** Records the end of an attempt, and a crash if the outcome shows one. */
	async recordAttemptEnd(endpoint: string, outcome: AttemptOutcome): Promise<void> {
		if (await this.#showsCrash(endpoint, outcome)) {
			this.#recordCrash(endpoint);
		}

		if (outcome.kind === 'lost') {
			this.#lostStreams.add(endpoint);
		} else if (outcome.kind !== 'silent') {
			this.#leaveEndpoint(endpoint);
		}
	}

	/** Ends all runs and releases the claim when the request has ended. */
	close(): void {
		for (const endpoint of this.#runs.keys()) {
			this.#leaveEndpoint(endpoint);
		}

		if (this.#claimedEndpoint !== undefined) {
			this.#releaseClaim(this.#claimedEndpoint);
		}
	}

	/** Whether the outcome proves a crash: a silent or reset connection alone does not; a process that no longer listens or no longer knows the generation does. */
	async #showsCrash(endpoint: string, {step, connectionRefused, forgotten, reset}: AttemptOutcome): Promise<boolean> {
		const isLost = step === 'start' || this.#lostStreams.has(endpoint);
		if (step === 'resume' && (connectionRefused === true || (forgotten === true && isLost))) {
			return true;
		}

		return reset === true && isLost && this.#hasExited(endpoint);
	}

	/** Whether no process is listening any more; queries repeatedly, since a process that is exiting may still reset a few connections. */
	async #hasExited(endpoint: string): Promise<boolean> {
		for (let probe = 1; probe <= exitProbes; probe += 1) {
			const load = await this.#monitor.options.engines.load(endpoint);
			if (load.isOk() || load.error.kind !== 'unreachable') {
				return false;
			}

			if (load.error.connectionRefused) {
				return true;
			}

			await pause(probe < exitProbes ? exitProbePauseMilliseconds : 0);
		}

		return false;
	}

	#recordCrash(endpoint: string): void {
		const {suspects, wallClock} = this.#monitor.options;
		const run = this.#runs.get(endpoint);
		const crash = run && suspects.recordCrash(run, wallClock());
		this.#hasRun = true;
		this.#mustReadTable = true;
		if (crash) {
			void this.#monitor.checkNeighbors(crash, this.#service);
		}
	}

	#leaveEndpoint(endpoint: string): void {
		this.#endRun(endpoint);
		this.#releaseClaim(endpoint);
	}

	#endRun(endpoint: string): void {
		const run = this.#runs.get(endpoint);
		if (run) {
			this.#monitor.options.suspects.endRun(run);
			this.#runs.delete(endpoint);
			this.#lostStreams.delete(endpoint);
		}
	}

	#releaseClaim(endpoint: string): void {
		if (this.#claimedEndpoint === endpoint) {
			this.#claimedEndpoint = undefined;
			void this.#monitor.options.claims.release(endpoint, this.#digest);
		}
	}
}

function blockedRefusal(ran: boolean): Refusal {
	return {
		status: 422,
		code: 'request_convicted',
		message: 'The request ends the process of each endpoint that runs it, and is refused.',
		run: ran ? 'yes' : 'no',
	};
}
