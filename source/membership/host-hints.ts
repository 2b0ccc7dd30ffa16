/**
 * Hints about hosts that are live again or leaving, in both directions.
 *
 * @module
 */
import {type Logger} from '../telemetry/mod.ts';
import {hostHintKind, type HintBoard} from './hint-board.ts';
import {type HostChange, type HostDirectory, type HostState} from './host-directory.ts';

/** Options of {@linkcode HostHints}. */
export type HostHintsOptions = {
	hints: HintBoard;
	directory: HostDirectory;
	logger: Logger;
	/** Name of this host. */
	hostName: string;
	/** Returns the wall-clock time, in milliseconds. */
	wallClock: () => number;
};

/**
 * Announces this host's own state and passes on what is heard of others.
 *
 * A host that is leaving says so; after a restart it says that it is live, with a higher stamp, and so it does when an old hint
 * about its earlier life comes back to it.
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
				this.#heard(key, value, now - ageMilliseconds);
			}
		});
		this.announce('live');
	}

	/** Publishes this host's own state. */
	announce(state: HostState): void {
		this.#ownState = state;
		this.#publish(this.#options.hostName, state);
	}

	/** Publishes that a host is leaving, as an operator said of it. */
	leaving(host: string): void {
		this.#publish(host, 'leaving');
	}

	/** Passes on what changed on the host list, unless a hint has told it already; repeats this host's own state in time. */
	listChanged(changes: readonly HostChange[]): void {
		const {hints, hostName, wallClock} = this.#options;
		this.#publish(hostName, this.#ownState);
		for (const {name, state} of changes) {
			const hinted = hints.value(hostHintKind, name, wallClock());
			// A hint of a return is newer than a lagging list that only now tells of the departure.
			if (name !== hostName && !(state === 'leaving' && hinted === 'live')) {
				this.#publish(name, state);
			}
		}
	}

	#heard(host: string, state: HostState, at: number): void {
		const {logger, hostName} = this.#options;
		if (host === hostName) {
			if (state !== this.#ownState) {
				this.#publish(hostName, this.#ownState);
			}

			return;
		}

		logger.info('host hint heard', {host, state});
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
