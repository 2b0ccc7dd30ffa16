/**
 * Totals that peers told, kept in case they die before they have written them.
 *
 * @module
 */
import {type RouterIdentity, type UsageExchange, type UsageTotals} from '../membership/mod.ts';
import {type Accounts} from './accounts.ts';
import {higherTotals, type UsageRecord} from './usage-row.ts';

type HeardRouter = {identity: RouterIdentity; totals: Map<string, UsageTotals>; goneAt: number | undefined};

/** Options of {@linkcode HeardUsage}. */
export type HeardUsageOptions = {
	accounts: Accounts;
	/** Time without a connection after which a peer's totals are written for it, in milliseconds. Default 5,000. */
	goneMilliseconds?: number;
};

/**
 * Keeps the last totals of the routers whose keeper this one is.
 *
 * @example
 * ```ts
 * const records = heard.due(Date.now());
 * ```
 */
export class HeardUsage implements UsageExchange {
	readonly #accounts: Accounts;
	readonly #goneMilliseconds: number;
	readonly #routers = new Map<string, HeardRouter>();

	constructor(options: HeardUsageOptions) {
		this.#accounts = options.accounts;
		this.#goneMilliseconds = options.goneMilliseconds ?? 5000;
	}

	/** This router's totals by workspace. */
	totals(): ReadonlyMap<string, UsageTotals> {
		return this.#accounts.totals();
	}

	/** Takes totals that a peer told. */
	heard(identity: RouterIdentity, workspace: string, totals: UsageTotals): void {
		const router = this.#routers.get(identity.incarnation) ?? {identity, totals: new Map<string, UsageTotals>(), goneAt: undefined};
		this.#routers.set(identity.incarnation, router);
		router.totals.set(workspace, higherTotals(router.totals.get(workspace) ?? totals, totals));
	}

	/** Starts the time after which a peer's totals are written for it. */
	disconnected(identity: RouterIdentity, now: number): void {
		const router = this.#routers.get(identity.incarnation);
		if (router) {
			router.goneAt = now;
		}
	}

	/** Leaves a peer's totals to itself again. */
	connected(identity: RouterIdentity): void {
		const router = this.#routers.get(identity.incarnation);
		if (router) {
			router.goneAt = undefined;
		}
	}

	/** Returns the totals of the routers that have been gone for long enough. */
	due(now: number): UsageRecord[] {
		return [...this.#routers.values()]
			.filter(({goneAt}) => goneAt !== undefined && now - goneAt >= this.#goneMilliseconds)
			.flatMap(({identity, totals}) => [...totals].map(([workspace, of]) => ({
				workspace, host: identity.hostName, incarnation: identity.incarnation, totals: of,
			})));
	}

	/** Forgets a workspace's totals that have been written for a router. */
	written({incarnation, workspace}: UsageRecord): void {
		const router = this.#routers.get(incarnation);
		router?.totals.delete(workspace);
		if (router?.totals.size === 0) {
			this.#routers.delete(incarnation);
		}
	}
}
