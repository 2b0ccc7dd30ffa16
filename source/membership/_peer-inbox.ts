/**
 * Processes messages from one peer and computes the replies.
 *
 * @module
 */
import {hostListSchema} from '../table-service/mod.ts';
import {type PeerContext} from './peer-context.ts';
import {type ConfigurationDifference, type PeerMessage, type PeerMessageParts} from './peer-protocol.ts';
import {type OpenPeer} from './peer-registry.ts';
import {UsageReader} from './usage-exchange.ts';

/** Time after which an unanswered configuration request is repeated, in milliseconds. */
const configurationRequestTimeoutMilliseconds = 2000;

/** Age from which a router requests a newer host list from its peers, in milliseconds. */
const staleListMilliseconds = 15_000;

/** Time after which an unanswered host list request is repeated, in milliseconds. */
const hostsRequestTimeoutMilliseconds = 5000;

/** Minimum difference in age for a host list to be sent to a peer that has an older one, in milliseconds. */
const newerListMarginMilliseconds = 10_000;

/** Age reported while there is no host list, in milliseconds. */
const missingListAgeMilliseconds = 1_000_000_000;

/** Applies the messages of one peer. */
export class PeerInbox {
	readonly #context: PeerContext;
	readonly #usage = new UsageReader();

	constructor(context: PeerContext) {
		this.#context = context;
	}

	/**
	 * Applies one message.
	 *
	 * @param message The message.
	 * @param peer The peer that sent it.
	 * @returns Parts to include in the next message to the peer.
	 */
	handle(message: PeerMessage, peer: OpenPeer): PeerMessageParts {
		const {hints, loads, usage, wallClock} = this.#context;
		for (const hint of message.hints) {
			hints.receive(hint, peer.hostName, wallClock());
		}

		loads.recordPeerLoads(peer.hostName, message.loads);
		if (message.usage) {
			for (const [workspace, totals] of this.#usage.read(message.usage)) {
				usage.recordTotals(peer, workspace, totals);
			}
		}

		if (message.hosts) {
			this.#applyHosts(message.hosts.json, message.hosts.ageMilliseconds);
		}

		const fullRequest = message.difference && this.#applyDifference(message.difference, peer);
		return {...this.#requestUpdates(message), ...fullRequest, ...this.#replyTo(message)};
	}

	#replyTo({pullConfiguration, pullHosts}: PeerMessage): PeerMessageParts {
		const {exchange, directory} = this.#context;
		const reply: PeerMessageParts = {};
		const difference = pullConfiguration && exchange.differenceFrom(pullConfiguration.baseVersion);
		if (difference) {
			reply.difference = difference;
		}

		const ageMilliseconds = this.#listAge();
		if (pullHosts && ageMilliseconds + newerListMarginMilliseconds < pullHosts.ageMilliseconds) {
			reply.hosts = {json: JSON.stringify({hosts: directory.hosts}), ageMilliseconds};
		}

		return reply;
	}

	#requestUpdates({configurationVersion}: PeerMessage): PeerMessageParts {
		const {configuration, registry, clock} = this.#context;
		const requests: PeerMessageParts = {};
		const known = Math.max(configuration.version, configuration.unreadableVersion ?? 0);
		if (configurationVersion > known && registry.tryRequestConfiguration(clock(), configurationRequestTimeoutMilliseconds)) {
			requests.pullConfiguration = {baseVersion: configuration.version};
		}

		const ageMilliseconds = this.#listAge();
		if (ageMilliseconds > staleListMilliseconds && registry.tryRequestHosts(clock(), hostsRequestTimeoutMilliseconds)) {
			requests.pullHosts = {ageMilliseconds};
		}

		return requests;
	}

	#listAge(): number {
		const {directory, wallClock} = this.#context;
		return directory.listedAt === undefined ? missingListAgeMilliseconds : Math.max(0, Math.round(wallClock() - directory.listedAt));
	}

	#applyHosts(json: string, ageMilliseconds: number): void {
		const {directory, wallClock, logger} = this.#context;
		const checked = hostListSchema.safeParse(parseJson(json));
		if (checked.success && ageMilliseconds < this.#listAge()) {
			const now = wallClock();
			directory.update(checked.data.hosts, now, now - ageMilliseconds);
			logger.info('host list received from a peer', {hosts: checked.data.hosts.length, ageMilliseconds});
		}
	}

	/** Applies a configuration difference and offers the result; returns a request for the whole configuration if the base or the digest does not match. */
	#applyDifference(difference: ConfigurationDifference, peer: OpenPeer): PeerMessageParts | undefined {
		const {configuration, exchange, registry, logger} = this.#context;
		registry.recordConfigurationResponse();
		if (difference.version <= configuration.version) {
			return undefined;
		}

		const applied = exchange.apply(difference);
		if (applied.isOk()) {
			if (configuration.applyIfNewer(applied.value)) {
				logger.info('configuration in force', {version: difference.version, source: peer.hostName});
			}

			return undefined;
		}

		logger.warn('configuration from a peer rejected', {peer: peer.hostName, version: difference.version, ...applied.error});
		if (applied.error.kind === 'unreadable') {
			configuration.markUnreadable(difference.version);
			return undefined;
		}

		return {pullConfiguration: {baseVersion: 0}};
	}
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
