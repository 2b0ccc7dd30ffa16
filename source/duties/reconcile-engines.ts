/**
 * Reconciles the engines of one service with their desired state.
 *
 * @module
 */
import {type EngineClient} from '../endpoints/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {type HeldLease} from './lease-manager.ts';
import {isInDesiredState, type DesiredEngine} from './desired-state.ts';

/** Options of {@linkcode EngineReconciler}. */
export type EngineReconcilerOptions = {
	engines: EngineClient;
	logger: Logger;
	/** Maximum time after which an order can still take effect, in milliseconds. */
	longestOrderMilliseconds: number;
	/** Time after an order during which the engine is not compared, since its reported state lags, in milliseconds. */
	settleMilliseconds: number;
	/** Maximum number of engines of one duty that load weights at the same time. */
	ordersAtOnce: number;
	/** Returns the monotonic time, in milliseconds. */
	clock: () => number;
};

/** Engines of a duty, and its lease. */
export type Reconciliation = {
	engines: readonly DesiredEngine[];
	/** Whether the engines refuse orders with an outdated fencing number. */
	checkFencing: boolean;
	/** Returns the lease while this router may act on it. */
	heldLease: () => HeldLease | undefined;
};

/**
 * Sends orders to engines that are not in their desired state. An order contains the whole desired state and its effect is read back,
 * so a delayed order of an earlier holder is corrected.
 *
 * @example
 * ```ts
 * await reconciler.reconcile({engines, checkFencing: true, heldLease: () => leases.heldLease(duty)});
 * ```
 */
export class EngineReconciler {
	readonly #options: EngineReconcilerOptions;
	readonly #orderedAt = new Map<string, number>();

	constructor(options: EngineReconcilerOptions) {
		this.#options = options;
	}

	/** Reads the state of every engine once and sends orders to those that differ, a few at a time. */
	async reconcile(reconciliation: Reconciliation): Promise<void> {
		const queue = [...reconciliation.engines];
		const work = async () => {
			for (let engine = queue.shift(); engine; engine = queue.shift()) {
				await this.#reconcileEngine(engine, reconciliation);
			}
		};

		await Promise.all(Array.from({length: this.#options.ordersAtOnce}, work));
	}

	async #reconcileEngine(engine: DesiredEngine, reconciliation: Reconciliation): Promise<void> {
		const {engines, clock, settleMilliseconds, longestOrderMilliseconds, logger} = this.#options;
		const {address, models} = engine;
		if (!this.#leaseForOrder(reconciliation) || clock() < (this.#orderedAt.get(address) ?? 0) + settleMilliseconds) {
			return;
		}

		const load = await engines.load(address);
		if (load.isErr() || isInDesiredState(load.value.models, models)) {
			this.#orderedAt.delete(address);
			return;
		}

		// The lease may have been lost during the read, so it is checked again immediately before the order.
		const lease = this.#leaseForOrder(reconciliation);
		if (!lease) {
			return;
		}

		const ordered = await engines.order(address, {fencing_number: lease.fencingNumber, models}, longestOrderMilliseconds);
		this.#orderedAt.set(address, clock());
		logger.info('engine ordered', {
			endpoint: address, fencingNumber: lease.fencingNumber, failure: ordered.isErr() ? ordered.error : undefined,
		});
	}

	/** Returns the lease if an order may be sent now. Engines that do not check fencing get one only once no order of an earlier holder can still take effect. */
	#leaseForOrder({heldLease, checkFencing}: Reconciliation): HeldLease | undefined {
		const lease = heldLease();
		if (!lease) {
			return undefined;
		}

		const waitMilliseconds = lease.hasPredecessor && !checkFencing ? this.#options.longestOrderMilliseconds : 0;
		return this.#options.clock() >= lease.heldSince + waitMilliseconds ? lease : undefined;
	}
}
