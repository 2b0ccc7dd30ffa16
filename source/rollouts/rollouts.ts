/**
 * What one gateway knows of the roll-outs, and what it has seen of the versions.
 *
 * @module
 */
import {ageOf, type ClockReading} from '../clocks/mod.ts';
import {type EndpointEntry} from '../registry/mod.ts';
import {RowCache, type RowChange} from '../stored-rows/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {chooseVersions, mostFrequentVersion, type VersionChoice} from './choose-versions.ts';
import {
	countEnd, emptyEvidence, type Evidence, type VersionedEnd,
} from './evidence.ts';
import {Exposure} from './exposure.ts';
import {certainty, judgeVersion} from './judge.ts';
import {
	isFinal, versionName, type RolloutBounds, type RolloutOrder, type RolloutRecord,
} from './rollout.ts';
import {VersionTicket} from './version-ticket.ts';

/** Options of {@linkcode Rollouts}. */
export type RolloutsOptions = {
	bounds: RolloutBounds;
	/** This gateway's process. */
	self: string;
	/** Returns the endpoints of a service that accept requests. */
	endpointsOf: (service: string) => readonly EndpointEntry[];
	logger: Logger;
	readClock: () => ClockReading;
	random: () => number;
	/** Counts an answer of an endpoint whose service has a roll-out. */
	countAnswer: (service: string, version: VersionedEnd['arm'], outcome: 'good' | 'failed') => void;
};

/** What this gateway has seen and sent for one order. */
type OwnShare = {order: string; exposure: Exposure; evidence: Evidence; isStopped: boolean};

/** Part of the time for a roll-back after which a record that nobody confirmed allows no more requests to a new version. */
const trustedPart = 0.5;

/**
 * Orders and records that all gateways follow, and this gateway's own share in them.
 *
 * @example
 * ```ts
 * const ticket = rollouts.openTicket('desk', 'deposit');
 * const usable = ticket.usable(endpoints);
 * ```
 */
export class Rollouts {
	/** Orders by service. */
	readonly orders = new RowCache<RolloutOrder>();
	/** Records by service. */
	readonly records = new RowCache<RolloutRecord>();
	readonly #options: RolloutsOptions;
	readonly #initialVersions = new Map<string, string>();
	readonly #shares = new Map<string, OwnShare>();
	/** Services whose newest record the store lacks. */
	readonly #lostRecords = new Set<string>();
	#confirmedAt: ClockReading | undefined;

	constructor(options: RolloutsOptions) {
		this.#options = options;
		this.records.onChange((service, record) => {
			options.logger.info('roll-out', {
				service, to: record?.to, phase: record?.phase, share: record?.share, established: record?.established, sequence: record?.sequence, reason: record?.reason,
			});
		});
	}

	/** Bounds on roll-outs. */
	get bounds(): RolloutBounds {
		return this.#options.bounds;
	}

	/** Opens the ticket of one request, which says what endpoints it may be sent to. */
	openTicket(service: string, route: string): VersionTicket {
		return new VersionTicket({rollouts: this, service, route});
	}

	/** Applies records; one with a smaller number than what is known is older, also if the store wrote it later. */
	applyRecords(changes: ReadonlyArray<RowChange<RolloutRecord>>): void {
		this.records.apply(changes.filter(({key, content}) => {
			const known = this.records.get(key);
			const isOlder = known !== undefined && (content?.sequence ?? 0) < known.sequence;
			if (isOlder) {
				this.#lostRecords.add(key);
			} else {
				this.#lostRecords.delete(key);
			}

			return !isOlder && content !== undefined;
		}));
	}

	/** Applies the store's whole list of records. */
	replaceRecords(changes: ReadonlyArray<RowChange<RolloutRecord>>): void {
		const listed = new Set(changes.map(({key}) => key));
		for (const [service] of this.records.entries().filter(([key]) => !listed.has(key))) {
			this.#lostRecords.add(service);
		}

		this.applyRecords(changes);
	}

	/** Records that no later record than the known ones existed at a time. */
	confirmRecords(revision: number, readAt: ClockReading): void {
		this.records.confirm(revision);
		if (!this.#confirmedAt || readAt.steady > this.#confirmedAt.steady) {
			this.#confirmedAt = readAt;
		}
	}

	/** Whether orders and records have been received. */
	get isLoaded(): boolean {
		return this.#confirmedAt !== undefined && this.orders.revision > 0;
	}

	/** Time since the records were last confirmed, in milliseconds; infinite if they never were. */
	age(now: ClockReading): number {
		return this.#confirmedAt ? ageOf(this.#confirmedAt, now) : Number.POSITIVE_INFINITY;
	}

	/** Orders that are not decided, or whose record the store lacks. */
	get openOrders(): RolloutOrder[] {
		return this.orders.entries().map(([, order]) => order).filter(({id, service}) => {
			const record = this.records.get(service);
			return record?.order !== id || !isFinal(record) || this.#lostRecords.has(service);
		});
	}

	/** Whether any order is not decided yet. */
	get isActive(): boolean {
		return this.openOrders.length > 0 || this.records.entries().some(([, record]) => !isFinal(record));
	}

	/** Records that the store has the newest record of a service. */
	confirmStored(service: string): void {
		this.#lostRecords.delete(service);
	}

	/** Version of a service before any order; undefined if that is not known. */
	initialVersion(service: string): string | undefined {
		const endpoints = this.#options.endpointsOf(service);
		const known = this.#initialVersions.get(service);
		if (known !== undefined && (endpoints.length === 0 || endpoints.some(endpoint => versionName(endpoint) === known))) {
			return known;
		}

		const version = mostFrequentVersion(endpoints, this.orders.get(service)?.to) ?? known;
		if (version !== undefined && this.orders.revision > 0) {
			this.#initialVersions.set(service, version);
		}

		return version;
	}

	/** Divides the endpoints of a service by what their versions may get now. */
	choose(service: string, endpoints: readonly EndpointEntry[]): VersionChoice {
		const record = this.records.get(service);
		const choice = chooseVersions(endpoints, {record, order: this.orders.get(service), initial: record ? undefined : this.initialVersion(service)});
		return choice.trial.length > 0 && !this.#mayTry(record!) ? {...choice, trial: []} : choice;
	}

	/** Endpoints of a service that accept requests. */
	endpointsOf(service: string): readonly EndpointEntry[] {
		return this.#options.endpointsOf(service);
	}

	/** This gateway's exposure to the version under trial; undefined if there is none. */
	exposureOf(service: string): Exposure | undefined {
		const record = this.records.get(service);
		return record?.phase === 'running' ? this.#shareOf(record).exposure : undefined;
	}

	/** Share of the requests to a service that goes to a version under trial. */
	shareOfTrial(service: string): number {
		return this.records.get(service)?.share ?? 0;
	}

	/** Counts how an attempt at an endpoint ended; stops the trial at this gateway where its own evidence condemns the version. */
	recordEnd(service: string, {version, ...end}: Omit<VersionedEnd, 'arm'> & {version: string}): void {
		const record = this.records.get(service);
		if (!record || isFinal(record) || (version !== record.to && version !== record.established)) {
			return;
		}

		const arm = version === record.to ? 'trial' : 'serving';
		const share = this.#shareOf(record);
		countEnd(share.evidence, {...end, arm});
		this.#options.countAnswer(service, arm, end.isFailure ? 'failed' : 'good');
		if (arm === 'trial' && !share.isStopped) {
			const {isBad, reason} = judgeVersion(share.evidence, certainty.during, this.choose(service, this.endpointsOf(service)).trial.length);
			share.isStopped = isBad;
			if (isBad) {
				this.#options.logger.warn('this gateway sends no more requests to the new version', {service, to: record.to, reason});
			}
		}
	}

	/** What this gateway has seen of the undecided orders, by service. */
	get ownEvidence(): Array<[service: string, evidence: Evidence]> {
		return this.records.entries().filter(([, record]) => !isFinal(record)).map(([service, record]) => [service, this.#shareOf(record).evidence]);
	}

	/** Whether a trial goes on: its record is fresh, and this gateway's own evidence is not against it. */
	#mayTry(record: RolloutRecord): boolean {
		const isFresh = this.age(this.#options.readClock()) <= this.bounds.rollbackMilliseconds * trustedPart;
		return isFresh && !this.#shareOf(record).isStopped;
	}

	#shareOf({service, order, grantees}: RolloutRecord): OwnShare {
		const known = this.#shares.get(service);
		if (known?.order === order) {
			return known;
		}

		const granted = grantees.includes(this.#options.self) ? 1 : 0;
		const share = {
			order, exposure: new Exposure(this.#options.random(), granted), evidence: emptyEvidence(order), isStopped: false,
		};
		this.#shares.set(service, share);
		return share;
	}
}
