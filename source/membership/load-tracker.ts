/**
 * Work in progress by service, at this router and its peers.
 *
 * A service's load is sent to a peer only when it has changed by a radius since it was last sent to that peer: a value-based
 * notification condition after Chandramouli, Phillips and Yang, "Value-Based Notification Conditions in Large-Scale Publish/Subscribe Systems".
 *
 * @module
 */
import {type z} from 'zod';
import {type loadSchema} from './peer-protocol.ts';

/** Work in progress of one service at one router. */
export type ServiceLoad = {requests: number; tokens: number};

/** A service's load as sent to peers. */
export type ReportedLoad = z.output<typeof loadSchema>;

const noLoad: ServiceLoad = {requests: 0, tokens: 0};

/**
 * Counts this router's work exactly and keeps the last load received from each peer.
 *
 * @example
 * ```ts
 * const ended = loads.recordStart('briefs', 400);
 * ended();
 * loads.peerLoads('briefs'); // Map {'entry-2' => {requests: 3, tokens: 1200}}
 * ```
 */
export class LoadTracker {
	readonly #own = new Map<string, ServiceLoad>();
	readonly #peers = new Map<string, Map<string, ServiceLoad>>();

	/** Counts a started request; returns a function that records its end and has no effect when called again. */
	recordStart(service: string, tokens: number): () => void {
		this.#add(service, 1, tokens);
		let ended = false;
		return () => {
			if (!ended) {
				ended = true;
				this.#add(service, -1, -tokens);
			}
		};
	}

	/** Returns this router's load of a service. */
	ownLoad(service: string): ServiceLoad {
		return this.#own.get(service) ?? noLoad;
	}

	/** Returns the loads of a service at the connected peers, by host name. */
	peerLoads(service: string): ReadonlyMap<string, ServiceLoad> {
		return new Map([...this.#peers].map(([host, loads]) => [host, loads.get(service) ?? noLoad]));
	}

	/** Records the loads that a peer sent. */
	recordPeerLoads(host: string, loads: readonly ReportedLoad[]): void {
		const known = this.#peers.get(host) ?? new Map<string, ServiceLoad>();
		this.#peers.set(host, known);
		for (const {service, requests, tokens} of loads) {
			known.set(service, {requests, tokens});
		}
	}

	/** Removes the loads of a peer whose connection has ended. */
	removePeer(host: string): void {
		this.#peers.delete(host);
	}

	/**
	 * Returns the loads to send to a peer, and records them as sent.
	 *
	 * @param sent Loads last sent to the peer; updated by this call.
	 * @param radius Change in tokens from which a load is sent again; 0 sends every load each time.
	 */
	collectChanges(sent: Map<string, ServiceLoad>, radius: number): ReportedLoad[] {
		const changes: ReportedLoad[] = [];
		for (const [service, load] of this.#own) {
			const last = sent.get(service) ?? noLoad;
			const movedToOrFromIdle = (last.requests === 0) !== (load.requests === 0);
			if (radius === 0 || movedToOrFromIdle || Math.abs(load.tokens - last.tokens) >= radius) {
				sent.set(service, {...load});
				changes.push({service, ...load});
			}
		}

		return changes;
	}

	#add(service: string, requests: number, tokens: number): void {
		const load = this.ownLoad(service);
		this.#own.set(service, {requests: load.requests + requests, tokens: load.tokens + tokens});
	}
}
