/**
 * What a peer has told, and what it is answered.
 *
 * @module
 */
import {hostListSchema} from '../table-service/mod.ts';
import {type PeerContext} from './peer-context.ts';
import {type ConfigurationDifference, type PeerMessage, type PeerMessageParts} from './peer-protocol.ts';
import {type OpenPeer} from './peer-registry.ts';
import {UsageReader} from './usage-exchange.ts';

/** Time after which an unanswered question for the configuration is asked again, in milliseconds. */
const configurationAgainMilliseconds = 2000;

/** Age from which a router asks peers for a newer host list, in milliseconds. */
const oldListMilliseconds = 15_000;

/** Time after which an unanswered question for the host list is asked again, in milliseconds. */
const hostsAgainMilliseconds = 5000;

/** Time by which a host list must be newer to be sent to a peer, in milliseconds. */
const newerListMilliseconds = 10_000;

/** Age that stands for no list at all, in milliseconds. */
const noListMilliseconds = 1_000_000_000;

/** Takes the messages of one peer. */
export class PeerInbox {
	readonly #context: PeerContext;
	readonly #usage = new UsageReader();

	constructor(context: PeerContext) {
		this.#context = context;
	}

	/**
	 * Takes one message.
	 *
	 * @param message The message.
	 * @param peer The peer that sent it.
	 * @returns Parts of the next message to the peer.
	 */
	take(message: PeerMessage, peer: OpenPeer): PeerMessageParts {
		const {hints, loads, usage, wallClock} = this.#context;
		for (const hint of message.hints) {
			hints.receive(hint, peer.hostName, wallClock());
		}

		loads.heard(peer.hostName, message.loads);
		if (message.usage) {
			for (const [workspace, totals] of this.#usage.read(message.usage)) {
				usage.heard(peer, workspace, totals);
			}
		}

		if (message.hosts) {
			this.#takeHosts(message.hosts.json, message.hosts.ageMilliseconds);
		}

		const again = message.difference && this.#takeDifference(message.difference, peer);
		return {...this.#ask(message), ...again, ...this.#answer(message)};
	}

	#answer({pullConfiguration, pullHosts}: PeerMessage): PeerMessageParts {
		const {exchange, directory} = this.#context;
		const answers: PeerMessageParts = {};
		const difference = pullConfiguration && exchange.differenceFrom(pullConfiguration.baseVersion);
		if (difference) {
			answers.difference = difference;
		}

		const ageMilliseconds = this.#listAge();
		if (pullHosts && ageMilliseconds + newerListMilliseconds < pullHosts.ageMilliseconds) {
			answers.hosts = {json: JSON.stringify({hosts: directory.hosts}), ageMilliseconds};
		}

		return answers;
	}

	#ask({configurationVersion}: PeerMessage): PeerMessageParts {
		const {configuration, registry, clock} = this.#context;
		const questions: PeerMessageParts = {};
		const known = Math.max(configuration.version, configuration.unreadableVersion ?? 0);
		if (configurationVersion > known && registry.mayAskConfiguration(clock(), configurationAgainMilliseconds)) {
			questions.pullConfiguration = {baseVersion: configuration.version};
		}

		const ageMilliseconds = this.#listAge();
		if (ageMilliseconds > oldListMilliseconds && registry.mayAskHosts(clock(), hostsAgainMilliseconds)) {
			questions.pullHosts = {ageMilliseconds};
		}

		return questions;
	}

	#listAge(): number {
		const {directory, wallClock} = this.#context;
		return directory.listedAt === undefined ? noListMilliseconds : Math.max(0, Math.round(wallClock() - directory.listedAt));
	}

	#takeHosts(json: string, ageMilliseconds: number): void {
		const {directory, wallClock, logger} = this.#context;
		const checked = hostListSchema.safeParse(parseJson(json));
		if (checked.success && ageMilliseconds < this.#listAge()) {
			const now = wallClock();
			directory.update(checked.data.hosts, now, now - ageMilliseconds);
			logger.info('host list taken from a peer', {hosts: checked.data.hosts.length, ageMilliseconds});
		}
	}

	/** Offers the version that a difference leads to; returns the question for the whole one where that failed. */
	#takeDifference(difference: ConfigurationDifference, peer: OpenPeer): PeerMessageParts | undefined {
		const {configuration, exchange, registry, logger} = this.#context;
		registry.configurationAnswered();
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

		logger.warn('configuration of a peer not taken', {peer: peer.hostName, version: difference.version, ...applied.error});
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
