/**
 * The open connections to peers.
 *
 * @module
 */
import {type RouterIdentity} from './usage-exchange.ts';

/** Which side opened a connection. */
export type PeerDirection = 'inbound' | 'outbound';

/** An open connection whose peer has sent its hello. */
export type OpenPeer = RouterIdentity & {direction: PeerDirection; availabilityZone: string; openedAt: number};

/**
 * Tracks which peers are connected, and when data was last requested from them.
 *
 * @example
 * ```ts
 * registry.isConnected('entry-2');
 * ```
 */
export class PeerRegistry {
	readonly #open = new Set<OpenPeer>();
	#configurationRequestedAt = Number.NEGATIVE_INFINITY;
	#hostsRequestedAt = Number.NEGATIVE_INFINITY;

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

	/** Whether a peer is connected, in either direction unless one is given. */
	isConnected(hostName: string, direction?: PeerDirection): boolean {
		return this.open.some(peer => peer.hostName === hostName && (direction === undefined || peer.direction === direction));
	}

	/**
	 * Returns the names of the peers that hold this router's usage totals: other zones first, then the longest connected.
	 *
	 * @param availabilityZone This router's zone.
	 * @param count Maximum number of peers.
	 */
	usageReplicas(availabilityZone: string, count: number): Set<string> {
		const ordered = this.open.toSorted((left, right) =>
			Number(left.availabilityZone === availabilityZone) - Number(right.availabilityZone === availabilityZone) || left.openedAt - right.openedAt);
		return new Set([...new Set(ordered.map(({hostName}) => hostName))].slice(0, count));
	}

	/** Whether the configuration may be requested; true at most once per interval over all connections. */
	tryRequestConfiguration(now: number, milliseconds: number): boolean {
		const isDue = now - this.#configurationRequestedAt >= milliseconds;
		this.#configurationRequestedAt = isDue ? now : this.#configurationRequestedAt;
		return isDue;
	}

	/** Allows the next configuration request at once, since the last one has been answered. */
	recordConfigurationResponse(): void {
		this.#configurationRequestedAt = Number.NEGATIVE_INFINITY;
	}

	/** Whether the host list may be requested; true at most once per interval over all connections. */
	tryRequestHosts(now: number, milliseconds: number): boolean {
		const isDue = now - this.#hostsRequestedAt >= milliseconds;
		this.#hostsRequestedAt = isDue ? now : this.#hostsRequestedAt;
		return isDue;
	}
}
