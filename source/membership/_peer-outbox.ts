/**
 * What one peer has to be told.
 *
 * @module
 */
import {type ServiceLoad} from './load-board.ts';
import {type PeerContext} from './peer-context.ts';
import {type PeerMessageParts} from './peer-protocol.ts';
import {type OpenPeer} from './peer-registry.ts';
import {UsageReporter} from './usage-exchange.ts';

/** Peers that keep a router's usage totals, so that one can write them when the router dies. */
const keepers = 2;

/** Hints in one message at most. */
const hintsPerMessage = 200;

/** Composes the messages to one peer: differences from what that peer was told last. */
export class PeerOutbox {
	readonly #context: PeerContext;
	readonly #toldLoads = new Map<string, ServiceLoad>();
	readonly #usage = new UsageReporter();
	#toldHints = 0;
	#toldVersion = 0;
	#usageReportedAt = Number.NEGATIVE_INFINITY;
	#answers: PeerMessageParts = {};

	constructor(context: PeerContext) {
		this.#context = context;
	}

	/** Whether the peer waits for an answer. */
	get hasAnswers(): boolean {
		return Object.keys(this.#answers).length > 0;
	}

	/** Adds parts to the next message. */
	answer(parts: PeerMessageParts): void {
		this.#answers = {...this.#answers, ...parts};
	}

	/**
	 * Returns the next message.
	 *
	 * @param peer The peer.
	 * @param heartbeat Whether a message is due even when there is no news.
	 * @returns The message, or nothing when it may wait for the next heartbeat.
	 */
	compose(peer: OpenPeer, heartbeat: boolean): PeerMessageParts | undefined {
		const hints = this.#newHints(peer);
		const {version} = this.#context.configuration;
		const urgent = this.hasAnswers || hints.length > 0 || version !== this.#toldVersion;
		if (!heartbeat && !urgent) {
			return undefined;
		}

		const parts = {...this.#answers, hints, ...(heartbeat && this.#periodic(peer))};
		this.#answers = {};
		this.#toldVersion = version;
		return parts;
	}

	#newHints(peer: OpenPeer) {
		const {hints, wallClock} = this.#context;
		const news = hints.since(this.#toldHints, peer.hostName, wallClock());
		this.#toldHints = hints.sequence;
		// A peer that has just connected may lack more hints than fit; the newest are worth most.
		return news.slice(-hintsPerMessage);
	}

	#periodic(peer: OpenPeer): PeerMessageParts {
		const {loads, settings} = this.#context;
		return {loads: loads.changes(this.#toldLoads, settings.loadRadiusTokens), usage: this.#usageReport(peer)};
	}

	#usageReport(peer: OpenPeer) {
		const {clock, registry, settings, availabilityZone, usage} = this.#context;
		const now = clock();
		const due = now - this.#usageReportedAt >= settings.usageHintMilliseconds;
		if (!due || !registry.keepers(availabilityZone, keepers).has(peer.hostName)) {
			return undefined;
		}

		const report = this.#usage.report(usage.totals());
		if (report) {
			this.#usageReportedAt = now;
		}

		return report;
	}
}
