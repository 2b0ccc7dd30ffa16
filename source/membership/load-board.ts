/**
 * Work in progress by service, here and at the peers.
 *
 * A peer is told a service's load only when it has moved by a radius since that peer was last told: a value-based notification
 * condition after Chandramouli, Phillips and Yang, "Value-Based Notification Conditions in Large-Scale Publish/Subscribe Systems".
 *
 * @module
 */
import {type z} from 'zod';
import {type loadSchema} from './peer-protocol.ts';

/** Work in progress of one service at one router. */
export type ServiceLoad = {requests: number; tokens: number};

/** A service's load as peers are told it. */
export type NamedLoad = z.output<typeof loadSchema>;

const noLoad: ServiceLoad = {requests: 0, tokens: 0};

/**
 * Counts this router's work exactly and keeps what the peers told last.
 *
 * @example
 * ```ts
 * const ended = loads.start('briefs', 400);
 * ended();
 * loads.ofPeers('briefs'); // Map {'entry-2' => {requests: 3, tokens: 1200}}
 * ```
 */
export class LoadBoard {
	readonly #own = new Map<string, ServiceLoad>();
	readonly #peers = new Map<string, Map<string, ServiceLoad>>();

	/** Counts a request that has started; returns the function that counts its end. */
	start(service: string, tokens: number): () => void {
		this.#add(service, 1, tokens);
		let ended = false;
		return () => {
			if (!ended) {
				ended = true;
				this.#add(service, -1, -tokens);
			}
		};
	}

	/** This router's load of a service. */
	own(service: string): ServiceLoad {
		return this.#own.get(service) ?? noLoad;
	}

	/** Loads of a service at the connected peers, by host name. */
	ofPeers(service: string): ReadonlyMap<string, ServiceLoad> {
		return new Map([...this.#peers].map(([host, loads]) => [host, loads.get(service) ?? noLoad]));
	}

	/** Takes what a peer told. */
	heard(host: string, loads: readonly NamedLoad[]): void {
		const known = this.#peers.get(host) ?? new Map<string, ServiceLoad>();
		this.#peers.set(host, known);
		for (const {service, requests, tokens} of loads) {
			known.set(service, {requests, tokens});
		}
	}

	/** Forgets a peer whose connection has ended. */
	forget(host: string): void {
		this.#peers.delete(host);
	}

	/**
	 * Returns the loads that a peer must be told, and records them as told.
	 *
	 * @param told Loads that the peer was told last.
	 * @param radius Change in tokens from which a load is told again; 0 tells every load each time.
	 */
	changes(told: Map<string, ServiceLoad>, radius: number): NamedLoad[] {
		const changes: NamedLoad[] = [];
		for (const [service, load] of this.#own) {
			const last = told.get(service) ?? noLoad;
			const movedToOrFromIdle = (last.requests === 0) !== (load.requests === 0);
			if (radius === 0 || movedToOrFromIdle || Math.abs(load.tokens - last.tokens) >= radius) {
				told.set(service, {...load});
				changes.push({service, ...load});
			}
		}

		return changes;
	}

	#add(service: string, requests: number, tokens: number): void {
		const load = this.own(service);
		this.#own.set(service, {requests: load.requests + requests, tokens: load.tokens + tokens});
	}
}
