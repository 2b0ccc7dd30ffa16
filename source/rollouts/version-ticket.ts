/**
 * Says which versions of a service one request may be sent to, and records what came of it.
 *
 * @module
 */
import {type EndpointEntry} from '../registry/mod.ts';
import {versionName} from './rollout.ts';
import {type Rollouts} from './rollouts.ts';

/** Options of {@linkcode VersionTicket}. */
export type VersionTicketOptions = {
	rollouts: Pick<Rollouts, 'choose' | 'endpointsOf' | 'exposureOf' | 'shareOfTrial' | 'recordEnd'>;
	service: string;
	route: string;
};

/**
 * The versions that one request may be sent to. Only its first attempt may go to a version under trial, so that a retry finds a version
 * that is known to serve; a generation that has begun at a version goes on there.
 *
 * @example
 * ```ts
 * const endpoints = ticket.usable(all);
 * ticket.recordSent(endpoint);
 * ticket.recordEnd(endpoint, {isFailure: false, milliseconds: 20});
 * ```
 */
export class VersionTicket {
	readonly #options: VersionTicketOptions;
	/** Whether the first attempt goes to the version under trial; undefined until it is decided. */
	#isDrawn: boolean | undefined;
	/** Number of attempts that were sent. */
	#sent = 0;
	/** Version at which a generation has begun. */
	#begunAt: string | undefined;

	constructor(options: VersionTicketOptions) {
		this.#options = options;
	}

	/** Whether the next attempt is to go to a version under trial. */
	get isTrial(): boolean {
		return this.#isDrawn === true && this.#sent === 0;
	}

	/** Returns those endpoints of the service that the next attempt may be sent to. */
	usable(endpoints: readonly EndpointEntry[]): readonly EndpointEntry[] {
		const {rollouts, service} = this.#options;
		const {serving, trial} = rollouts.choose(service, endpoints);
		if (trial.length === 0) {
			return serving;
		}

		const goesOnAtTrial = this.#sent > 0 && versionName(trial[0]!) === this.#begunAt;
		this.#isDrawn ??= this.#sent === 0 && rollouts.exposureOf(service)?.draw() === true;
		return this.isTrial || goesOnAtTrial ? trial : serving;
	}

	/** Returns the endpoints of the serving version where none under trial can be used. */
	withoutTrial(endpoints: readonly EndpointEntry[]): readonly EndpointEntry[] {
		const {rollouts, service} = this.#options;
		this.#refund();
		this.#begunAt = undefined;
		return rollouts.choose(service, endpoints).serving;
	}

	/** Whether the next attempt may be sent to an endpoint. */
	mayUse({id}: EndpointEntry): boolean {
		const {rollouts, service} = this.#options;
		return this.usable(rollouts.endpointsOf(service)).some(endpoint => endpoint.id === id);
	}

	/** Records that an attempt was sent to an endpoint. */
	recordSent(endpoint: EndpointEntry): void {
		const {rollouts, service} = this.#options;
		const isFirst = this.#sent === 0;
		const {trial} = rollouts.choose(service, rollouts.endpointsOf(service));
		const isAtTrial = trial.some(({id}) => id === endpoint.id);
		const exposure = rollouts.exposureOf(service);
		// What is earned while the trial is paused would be sent at once when it goes on.
		if (isFirst && trial.length > 0) {
			exposure?.earn(rollouts.shareOfTrial(service));
		}

		if (isAtTrial && !this.isTrial) {
			exposure?.charge();
		} else if (!isAtTrial) {
			this.#refund();
		}

		this.#sent += 1;
	}

	/** Records that a generation has begun at an endpoint: its caller has received events. */
	recordBegin(endpoint: EndpointEntry): void {
		this.#begunAt = versionName(endpoint);
	}

	/** Records how an attempt ended. */
	recordEnd(endpoint: EndpointEntry, end: {isFailure: boolean; milliseconds: number}): void {
		const {rollouts, service, route} = this.#options;
		rollouts.recordEnd(service, {
			...end, route, endpoint: endpoint.id, version: versionName(endpoint),
		});
	}

	#refund(): void {
		if (this.isTrial) {
			this.#isDrawn = false;
			this.#options.rollouts.exposureOf(this.#options.service)?.refund();
		}
	}
}
