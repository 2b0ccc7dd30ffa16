/**
 * The open connections to peers.
 *
 * @module
 */
import {type RouterIdentity} from './usage-exchange.ts';

/** Which side opened a connection. */
export type PeerDirection = 'inbound' | 'outbound';

/** An open connection that has said hello. */
export type OpenPeer = RouterIdentity & {direction: PeerDirection; availabilityZone: string; openedAt: number};

/**
 * Knows which peers are connected, and what has been asked of them.
 *
 * @example
 * ```ts
 * registry.isConnected('entry-2');
 * ```
 */
export class PeerRegistry {
	readonly #open = new Set<OpenPeer>();
	#configurationAskedAt = Number.NEGATIVE_INFINITY;
	#hostsAskedAt = Number.NEGATIVE_INFINITY;

	/** The open connections. */
	get open(): readonly OpenPeer[] {
		return [...this.#open];
	}

	/** Records an open connection. */
	add(peer: OpenPeer): void {
		this.#open.add(peer);
	}

	/** Records that a connection has ended. */
	remove(peer: OpenPeer): void {
		this.#open.delete(peer);
	}

	/** Whether a peer is connected, in either direction unless one is named. */
	isConnected(hostName: string, direction?: PeerDirection): boolean {
		return this.open.some(peer => peer.hostName === hostName && (direction === undefined || peer.direction === direction));
	}

	/**
	 * Returns the names of the peers that keep this router's usage totals: the longest connected ones, other zones first.
	 *
	 * @param availabilityZone This router's zone.
	 * @param count Number of keepers.
	 */
	keepers(availabilityZone: string, count: number): Set<string> {
		const ordered = this.open.toSorted((left, right) =>
			Number(left.availabilityZone === availabilityZone) - Number(right.availabilityZone === availabilityZone) || left.openedAt - right.openedAt);
		return new Set([...new Set(ordered.map(({hostName}) => hostName))].slice(0, count));
	}

	/** Whether the configuration may be asked for; true at most once in a time over all connections. */
	mayAskConfiguration(now: number, milliseconds: number): boolean {
		const may = now - this.#configurationAskedAt >= milliseconds;
		this.#configurationAskedAt = may ? now : this.#configurationAskedAt;
		return may;
	}

	/** Forgets that the configuration was asked for, since the answer has come. */
	configurationAnswered(): void {
		this.#configurationAskedAt = Number.NEGATIVE_INFINITY;
	}

	/** Whether the host list may be asked for; true at most once in a time over all connections. */
	mayAskHosts(now: number, milliseconds: number): boolean {
		const may = now - this.#hostsAskedAt >= milliseconds;
		this.#hostsAskedAt = may ? now : this.#hostsAskedAt;
		return may;
	}
}
