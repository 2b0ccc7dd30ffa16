/**
 * Usage totals reported by peers, kept in case a peer stops before it has written them.
 *
 * @module
 */
import {type RouterIdentity, type UsageExchange, type UsageTotals} from '../membership/mod.ts';
import {type WorkspaceUsage} from './workspace-usage.ts';
import {maximumTotals, type UsageRecord} from './usage-row.ts';

type PeerTotals = {identity: RouterIdentity; totals: Map<string, UsageTotals>; disconnectedAt: number | undefined};

/** Options of {@linkcode PeerUsage}. */
export type PeerUsageOptions = {
	localUsage: WorkspaceUsage;
	/** Time after a peer's disconnect until this router writes the peer's totals, in milliseconds. Default is 5,000. */
	takeoverDelayMilliseconds?: number;
};

/**
 * Keeps the last totals of the routers that report them to this one as a backup.
 *
 * @example
 * ```ts
 * const records = peerUsage.dueRecords(Date.now());
 * ```
 */
export class PeerUsage implements UsageExchange {
	readonly #localUsage: WorkspaceUsage;
	readonly #takeoverDelayMilliseconds: number;
	readonly #peers = new Map<string, PeerTotals>();

	constructor(options: PeerUsageOptions) {
		this.#localUsage = options.localUsage;
		this.#takeoverDelayMilliseconds = options.takeoverDelayMilliseconds ?? 5000;
	}

	/** Returns this router's totals by workspace. */
	totals(): ReadonlyMap<string, UsageTotals> {
		return this.#localUsage.totals();
	}

	/** Records totals that a peer reported. */
	recordTotals(identity: RouterIdentity, workspace: string, totals: UsageTotals): void {
		const peer = this.#peers.get(identity.incarnation) ?? {identity, totals: new Map<string, UsageTotals>(), disconnectedAt: undefined};
		this.#peers.set(identity.incarnation, peer);
		peer.totals.set(workspace, maximumTotals(peer.totals.get(workspace) ?? totals, totals));
	}

	/** Starts the delay after which this router writes a peer's totals. */
	recordDisconnect(identity: RouterIdentity, now: number): void {
		const peer = this.#peers.get(identity.incarnation);
		if (peer) {
			peer.disconnectedAt = now;
		}
	}

	/** Cancels the delay: the peer writes its totals itself again. */
	recordConnect(identity: RouterIdentity): void {
		const peer = this.#peers.get(identity.incarnation);
		if (peer) {
			peer.disconnectedAt = undefined;
		}
	}

	/** Returns the totals of the peers that have been disconnected for the whole delay. */
	dueRecords(now: number): UsageRecord[] {
		return [...this.#peers.values()]
			.filter(({disconnectedAt}) => disconnectedAt !== undefined && now - disconnectedAt >= this.#takeoverDelayMilliseconds)
			.flatMap(({identity, totals}) => [...totals].map(([workspace, of]) => ({
				workspace, host: identity.hostName, incarnation: identity.incarnation, totals: of,
			})));
	}

	/** Removes a workspace's totals that have been written for a peer. */
	removeWritten({incarnation, workspace}: UsageRecord): void {
		const peer = this.#peers.get(incarnation);
		peer?.totals.delete(workspace);
		if (peer?.totals.size === 0) {
			this.#peers.delete(incarnation);
		}
	}
}
