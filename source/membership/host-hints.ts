/**
 * Publishes and receives hints about hosts that are live again or leaving.
 *
 * @module
 */
import {type Logger} from '../telemetry/mod.ts';
import {hostHintKind, type HintCache} from './hint-cache.ts';
import {type HostChange, type HostDirectory, type HostState} from './host-directory.ts';

/** Options of {@linkcode HostHints}. */
export type HostHintsOptions = {
	hints: HintCache;
	directory: HostDirectory;
	logger: Logger;
	/** Name of this host. */
	hostName: string;
	/** Returns the wall-clock time, in milliseconds. */
	wallClock: () => number;
};

/**
 * Announces this host's own state and records the states that other hosts announce.
 *
 * A host announces when it is leaving. After a restart it announces that it is live, with a higher stamp, and does so again
 * whenever it receives an old hint about its previous incarnation.
 *
 * @example
 * ```ts
 * const hostHints = new HostHints({hints, directory, logger, hostName, wallClock});
 * hostHints.announce('leaving');
 * ```
 */
export class HostHints {
	readonly #options: HostHintsOptions;
	#ownState: HostState = 'live';

	constructor(options: HostHintsOptions) {
		this.#options = options;
		options.hints.onHint(({kind, key, value, ageMilliseconds}, now) => {
			if (kind === hostHintKind && (value === 'live' || value === 'leaving')) {
				this.#receive(key, value, now - ageMilliseconds);
			}
		});
		this.announce('live');
	}

	/** Publishes this host's own state. */
	announce(state: HostState): void {
		this.#ownState = state;
		this.#publish(this.#options.hostName, state);
	}

	/** Publishes that a host is leaving, on behalf of an operator. */
	publishLeaving(host: string): void {
		this.#publish(host, 'leaving');
	}

	/** Publishes changes of the host list that no hint has announced yet; also renews this host's own state before it expires. */
	publishListChanges(changes: readonly HostChange[]): void {
		const {hints, hostName, wallClock} = this.#options;
		this.#publish(hostName, this.#ownState);
		for (const {name, state} of changes) {
			const hinted = hints.value(hostHintKind, name, wallClock());
			// A hint that a host is live again is newer than a lagging list that only now shows its departure.
			if (name !== hostName && !(state === 'leaving' && hinted === 'live')) {
				this.#publish(name, state);
			}
		}
	}

	#receive(host: string, state: HostState, at: number): void {
		const {logger, hostName} = this.#options;
		if (host === hostName) {
			if (state !== this.#ownState) {
				this.#publish(hostName, this.#ownState);
			}

			return;
		}

		logger.info('host hint received', {host, state});
		this.#mark(host, state, at);
	}

	#publish(host: string, state: HostState): void {
		const {hints, wallClock} = this.#options;
		const now = wallClock();
		if (hints.value(hostHintKind, host, now) !== state) {
			this.#mark(host, state, now);
		}

		hints.publish({kind: hostHintKind, key: host, value: state}, now);
	}

	#mark(host: string, state: HostState, at: number): void {
		const {directory} = this.#options;
		if (state === 'leaving') {
			directory.markLeaving(host, at);
		} else {
			directory.markLive(host, at);
		}
	}
}
