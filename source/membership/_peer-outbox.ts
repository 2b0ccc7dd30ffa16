/**
 * Composes the messages sent to one peer.
 *
 * @module
 */
import {type ServiceLoad} from './load-tracker.ts';
import {type PeerContext} from './peer-context.ts';
import {type PeerMessageParts} from './peer-protocol.ts';
import {type OpenPeer} from './peer-registry.ts';
import {UsageReporter} from './usage-exchange.ts';

/** Number of peers that hold a router's usage totals, so that one of them can write the totals if the router fails. */
const usageReplicaCount = 2;

/** Maximum number of hints in one message. */
const maxHintsPerMessage = 200;

/** Composes the messages to one peer; each contains only what changed since the last one. */
export class PeerOutbox {
	readonly #context: PeerContext;
	readonly #sentLoads = new Map<string, ServiceLoad>();
	readonly #usage = new UsageReporter();
	#sentHintSequence = 0;
	#sentVersion = 0;
	#usageReportedAt = Number.NEGATIVE_INFINITY;
	#reply: PeerMessageParts = {};

	constructor(context: PeerContext) {
		this.#context = context;
	}

	/** Whether there are replies that have not been sent. */
	get hasReply(): boolean {
		return Object.keys(this.#reply).length > 0;
	}

	/** Adds reply parts to the next message. */
	addReply(parts: PeerMessageParts): void {
		this.#reply = {...this.#reply, ...parts};
	}

	/**
	 * Returns the next message.
	 *
	 * @param peer The peer.
	 * @param heartbeat Whether a heartbeat is due, which is sent even when nothing has changed.
	 * @returns The message, or `undefined` when nothing has to be sent before the next heartbeat.
	 */
	compose(peer: OpenPeer, heartbeat: boolean): PeerMessageParts | undefined {
		const hints = this.#newHints(peer);
		const {version} = this.#context.configuration;
		const urgent = this.hasReply || hints.length > 0 || version !== this.#sentVersion;
		if (!heartbeat && !urgent) {
			return undefined;
		}

		const parts = {...this.#reply, hints, ...(heartbeat && this.#periodic(peer))};
		this.#reply = {};
		this.#sentVersion = version;
		return parts;
	}

	#newHints(peer: OpenPeer) {
		const {hints, wallClock} = this.#context;
		const newerHints = hints.since(this.#sentHintSequence, peer.hostName, wallClock());
		this.#sentHintSequence = hints.sequence;
		// A peer that has just connected may lack more hints than fit in one message; the newest are the most useful.
		return newerHints.slice(-maxHintsPerMessage);
	}

	#periodic(peer: OpenPeer): PeerMessageParts {
		const {loads, settings} = this.#context;
		return {loads: loads.collectChanges(this.#sentLoads, settings.loadRadiusTokens), usage: this.#usageReport(peer)};
	}

	#usageReport(peer: OpenPeer) {
		const {clock, registry, settings, availabilityZone, usage} = this.#context;
		const now = clock();
		const due = now - this.#usageReportedAt >= settings.usageHintMilliseconds;
		if (!due || !registry.usageReplicas(availabilityZone, usageReplicaCount).has(peer.hostName)) {
			return undefined;
		}

		const report = this.#usage.report(usage.totals());
		if (report) {
			this.#usageReportedAt = now;
		}

		return report;
	}
}
