/**
 * Conducts the roll-outs of the services whose lease this gateway has.
 *
 * @module
 */
import {ok, type Result} from 'neverthrow';
import {pause} from '../supervision/pause.ts';
import {type TaskFailure} from '../supervision/supervisor.ts';
import {type Logger} from '../telemetry/mod.ts';
import {advanceRollout, startRollout} from './advance-rollout.ts';
import {countNewEndpoints} from './choose-versions.ts';
import {
	allRoutes, evidenceSince, sumEvidence, type Evidence,
} from './evidence.ts';
import {versionName, type RolloutOrder, type RolloutRecord} from './rollout.ts';
import {type RolloutRead, type RolloutTable} from './rollout-table.ts';
import {type Rollouts} from './rollouts.ts';

/** Options of {@linkcode RolloutConductor}. */
export type RolloutConductorOptions = {
	rollouts: Rollouts;
	table: RolloutTable;
	/** Whether this gateway may conduct roll-outs now: it follows the store. */
	mayConduct: () => boolean;
	/** Whether the configuration has a service. */
	knowsService: (service: string) => boolean;
	/** Returns the processes of all gateways. */
	gateways: () => readonly string[];
	logger: Logger;
	/** Returns steady time, in milliseconds. */
	clock: () => number;
	random: () => number;
};

/** Interval between two looks at an undecided order, in milliseconds. */
const conductMilliseconds = 400;

/** Interval at which a gateway looks whether its evidence has changed, and at which it writes evidence that is not urgent, in milliseconds. */
const evidenceCheckMilliseconds = 250;
const evidenceWriteMilliseconds = 2000;

/** Time over which evidence counts as recent, in milliseconds; a version may turn bad late. */
const recentMilliseconds = 5000;

/**
 * Conducts roll-outs, and writes this gateway's evidence for whoever conducts them.
 *
 * @example
 * ```ts
 * supervisor.start('roll-outs', signal => conductor.conduct(signal));
 * supervisor.start('evidence of roll-outs', signal => conductor.writeEvidence(signal));
 * ```
 */
export class RolloutConductor {
	readonly #options: RolloutConductorOptions;
	/** Sums of evidence of the last seconds, by service, oldest first. */
	readonly #history = new Map<string, Array<{at: number; sum: Evidence}>>();
	/** Ids of orders whose service is not configured, and for which that was logged. */
	readonly #unknown = new Set<string>();
	/** Services whose lease this gateway has, for the log. */
	readonly #led = new Set<string>();

	constructor(options: RolloutConductorOptions) {
		this.#options = options;
	}

	/** Conducts roll-outs until the signal aborts. */
	async conduct(signal: AbortSignal): Promise<Result<void, TaskFailure>> {
		const {rollouts, mayConduct, random} = this.#options;
		while (await pause(conductMilliseconds * (0.8 + (random() * 0.4)), signal)) {
			if (mayConduct()) {
				await Promise.all(rollouts.openOrders.map(async order => this.step(order)));
			}
		}

		return ok();
	}

	/** Writes this gateway's evidence until the signal aborts: at once when the new version has failed, else every two seconds. */
	async writeEvidence(signal: AbortSignal): Promise<Result<void, TaskFailure>> {
		const {rollouts, table, logger, clock} = this.#options;
		const written = new Map<string, {order: string; at: number; answers: number; failures: number}>();
		while (await pause(evidenceCheckMilliseconds, signal)) {
			for (const [service, evidence] of rollouts.ownEvidence) {
				const {failures, answers} = allRoutes(evidence, 'trial');
				const count = {
					order: evidence.order, at: clock(), failures, answers: answers + allRoutes(evidence, 'serving').answers,
				};
				const previous = written.get(service);
				const last = previous?.order === evidence.order ? previous : undefined;
				const isUrgent = failures > (last?.failures ?? 0);
				if (!isUrgent && (count.answers === (last?.answers ?? 0) || count.at < (last?.at ?? Number.NEGATIVE_INFINITY) + evidenceWriteMilliseconds)) {
					continue;
				}

				const reason = await table.writeEvidence(service, evidence);
				if (reason === undefined) {
					written.set(service, count);
				} else {
					logger.info('evidence of a roll-out cannot be written', {service, reason});
				}
			}
		}

		return ok();
	}

	/** Makes the next step of one order, if this gateway has or gets the lease. */
	async step(order: RolloutOrder): Promise<void> {
		const {table, knowsService, logger} = this.#options;
		const {service} = order;
		if (!knowsService(service)) {
			if (!this.#unknown.has(order.id)) {
				this.#unknown.add(order.id);
				logger.warn('roll-out of a service that the configuration lacks', {service, to: order.to});
			}

			return;
		}

		const read = await table.read(service);
		if (read.isErr()) {
			logger.info('roll-out cannot be read', {service, reason: read.error});
			return;
		}

		if (table.isLedByOther(read.value)) {
			this.#noteLease(service, false);
			return;
		}

		const next = await this.#next(order, read.value);
		if (next !== undefined || table.isRenewalDue(read.value)) {
			await this.#write(service, read.value, next);
		}
	}

	async #write(service: string, read: RolloutRead, record: RolloutRecord | undefined): Promise<void> {
		const {table, rollouts, logger} = this.#options;
		const written = await table.write(service, read, record);
		if (written.isErr() || written.value.kind === 'conflict') {
			logger.info('roll-out cannot be written', {service, phase: record?.phase, reason: written.isErr() ? written.error : 'written concurrently'});
			return;
		}

		this.#noteLease(service, true);
		if (record) {
			rollouts.confirmStored(service);
			logger.info('roll-out moves on', {
				service, to: record.to, phase: record.phase, share: record.share, sequence: record.sequence, milliseconds: read.now - record.acceptedAt, reason: record.reason,
			});
		}
	}

	#noteLease(service: string, isHeld: boolean): void {
		if (this.#led.has(service) === isHeld) {
			return;
		}

		this.#options.logger.info(isHeld ? 'this gateway conducts the roll-out' : 'another gateway conducts the roll-out', {service});
		if (isHeld) {
			this.#led.add(service);
		} else {
			this.#led.delete(service);
			this.#history.delete(service);
		}
	}

	/** Returns the record to write, if any. */
	async #next(order: RolloutOrder, read: RolloutRead): Promise<RolloutRecord | undefined> {
		const {rollouts} = this.#options;
		const known = rollouts.records.get(order.service);
		const isLost = known !== undefined && known.sequence > (read.record?.sequence ?? 0);
		const record = isLost ? known : read.record;
		if (record?.order !== order.id) {
			return this.#start(order, record, read.now);
		}

		const evidence = await this.#options.table.readEvidence(order.service);
		if (evidence.isErr()) {
			return isLost ? known : undefined;
		}

		const total = sumEvidence(order.id, evidence.value);
		const advanced = advanceRollout({
			record,
			total,
			recent: this.#recent(order.service, total),
			trialEndpoints: countNewEndpoints(rollouts.endpointsOf(order.service), record),
			bounds: rollouts.bounds,
			now: read.now,
		});
		return advanced ?? (isLost ? known : undefined);
	}

	/** Returns the first record of an order, or none while no endpoint of the service is known. */
	#start(order: RolloutOrder, previous: RolloutRecord | undefined, now: number): RolloutRecord | undefined {
		const {rollouts, gateways, random, logger} = this.#options;
		const endpoints = rollouts.endpointsOf(order.service);
		if (endpoints.length === 0) {
			return undefined;
		}

		if (previous && previous.order !== order.id) {
			logger.info('a new order follows an earlier one', {
				service: order.service, to: order.to, earlier: previous.to, phase: previous.phase,
			});
		}

		const initial = rollouts.initialVersion(order.service);
		const onlyOrdered = endpoints.every(endpoint => versionName(endpoint) === order.to);
		return startRollout({
			order, previous, established: initial ?? (onlyOrdered ? order.to : undefined), gateways: shuffled(gateways(), random), bounds: rollouts.bounds, now,
		});
	}

	/** Returns what was counted in the last seconds. */
	#recent(service: string, sum: Evidence): Evidence {
		const now = this.#options.clock();
		const earlier = (this.#history.get(service) ?? []).filter(entry => entry.sum.order === sum.order);
		const firstRecent = earlier.findLastIndex(({at}) => at <= now - recentMilliseconds);
		const kept = firstRecent > 0 ? earlier.slice(firstRecent) : earlier;
		this.#history.set(service, [...kept, {at: now, sum}]);
		return kept[0] ? evidenceSince(sum, kept[0].sum) : sum;
	}
}

/** Returns items in random order. */
function shuffled<Item>(items: readonly Item[], random: () => number): Item[] {
	return items.map(item => ({item, at: random()})).toSorted((a, b) => a.at - b.at).map(({item}) => item);
}
