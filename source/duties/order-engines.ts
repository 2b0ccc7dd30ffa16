/**
 * Brings the engines of one service into the wanted state and keeps them there.
 *
 * @module
 */
import {type EngineClient} from '../endpoints/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {type HeldLease} from './lease-keeper.ts';
import {isInWantedState, type WantedEngine} from './wanted-state.ts';

/** Options of {@linkcode EngineOrders}. */
export type EngineOrdersOptions = {
	engines: EngineClient;
	logger: Logger;
	/** Longest time from an order until it has taken effect or never will, in milliseconds. */
	longestOrderMilliseconds: number;
	/** Time after an order for which the engine's lagging report is not judged, in milliseconds. */
	settleMilliseconds: number;
	/** Engines that read weights at once by order of one duty. */
	ordersAtOnce: number;
	/** Returns the monotonic time, in milliseconds. */
	clock: () => number;
};

/** Engines of a duty, and how its lease stands. */
export type Reconciliation = {
	engines: readonly WantedEngine[];
	/** Whether the engines refuse an order with an old fencing number. */
	checkFencing: boolean;
	/** Returns the lease while this router may act on it. */
	held: () => HeldLease | undefined;
};

/**
 * Orders engines that are not in the wanted state. Orders state the whole wanted state and its effect is read back, so that a
 * late order of an earlier holder is put right.
 *
 * @example
 * ```ts
 * await orders.reconcile({engines, checkFencing: true, held: () => keeper.held(duty)});
 * ```
 */
export class EngineOrders {
	readonly #options: EngineOrdersOptions;
	readonly #orderedAt = new Map<string, number>();

	constructor(options: EngineOrdersOptions) {
		this.#options = options;
	}

	/** Reads every engine back once, and orders those that differ, a few at a time. */
	async reconcile(reconciliation: Reconciliation): Promise<void> {
		const queue = [...reconciliation.engines];
		const work = async () => {
			for (let engine = queue.shift(); engine; engine = queue.shift()) {
				await this.#reconcileEngine(engine, reconciliation);
			}
		};

		await Promise.all(Array.from({length: this.#options.ordersAtOnce}, work));
	}

	async #reconcileEngine(engine: WantedEngine, reconciliation: Reconciliation): Promise<void> {
		const {engines, clock, settleMilliseconds, longestOrderMilliseconds, logger} = this.#options;
		const {address, models} = engine;
		if (!this.#mayOrder(reconciliation) || clock() < (this.#orderedAt.get(address) ?? 0) + settleMilliseconds) {
			return;
		}

		const load = await engines.load(address);
		if (load.isErr() || isInWantedState(load.value.models, models)) {
			this.#orderedAt.delete(address);
			return;
		}

		// Reading took time: the lease is asked for again right before the order.
		const lease = this.#mayOrder(reconciliation);
		if (!lease) {
			return;
		}

		const ordered = await engines.order(address, {fencing_number: lease.fencingNumber, models}, longestOrderMilliseconds);
		this.#orderedAt.set(address, clock());
		logger.info('engine ordered', {
			endpoint: address, fencingNumber: lease.fencingNumber, failure: ordered.isErr() ? ordered.error : undefined,
		});
	}

	/** Returns the lease if an order may be sent now: an unchecked one only after every order of an earlier holder has ended. */
	#mayOrder({held, checkFencing}: Reconciliation): HeldLease | undefined {
		const lease = held();
		if (!lease) {
			return undefined;
		}

		const waitMilliseconds = lease.succeeded && !checkFencing ? this.#options.longestOrderMilliseconds : 0;
		return this.#options.clock() >= lease.heldSince + waitMilliseconds ? lease : undefined;
	}
}
