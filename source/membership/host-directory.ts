/**
 * The hosts known to this router, live and leaving.
 *
 * @module
 */
import {type Host} from '../table-service/mod.ts';

/** Options of {@linkcode HostDirectory}. */
export type HostDirectoryOptions = {
	/** Time for which a hint about a host takes precedence over a host list that contradicts it, in milliseconds. Default 600,000. */
	hintLifetimeMilliseconds?: number;
	/** Time for which a host missing from the list is kept if the list shrank suddenly or a peer connection to the host is open, in milliseconds. Default 60,000. */
	missingGraceMilliseconds?: number;
	/** A list with fewer than this share of the known hosts counts as suddenly shrunk. Default 0.7. */
	shrunkListShare?: number;
};

/** An endpoint and the host that it runs on. */
export type EndpointRecord = {address: string; service: string; host: string; availabilityZone: string; region: string};

/** Whether a host accepts new work. */
export type HostState = 'live' | 'leaving';

/** A host whose listed state changed. */
export type HostChange = {name: string; state: HostState};

type HostRecord = {
	host: Host;
	/** Time since which the list has shown it as leaving. */
	leavingSince: number | undefined;
	/** Time since which it has been missing from the list. */
	missingSince: number | undefined;
	/** Whether it was first missing from a suddenly shrunk list. */
	missingFromShrunkList: boolean;
};

type HostHint = {state: HostState; at: number};

/**
 * Merges the platform's host list, which lags, with hints that arrive sooner.
 *
 * @example
 * ```ts
 * directory.update(hosts, Date.now());
 * directory.endpointsOf('briefs');
 * ```
 */
export class HostDirectory {
	readonly #options: Required<HostDirectoryOptions>;
	#records = new Map<string, HostRecord>();
	#hosts: readonly Host[] = [];
	#endpoints = new Map<string, EndpointRecord[]>();
	readonly #hints = new Map<string, HostHint>();
	readonly #connected = new Set<string>();
	readonly #listeners = new Set<(hosts: readonly Host[]) => void>();
	#listedAt: number | undefined;

	constructor(options: HostDirectoryOptions = {}) {
		this.#options = {
			hintLifetimeMilliseconds: 600_000, missingGraceMilliseconds: 60_000, shrunkListShare: 0.7, ...options,
		};
	}

	/** Hosts of the last list, and retained hosts that are missing from it. */
	get hosts(): readonly Host[] {
		return this.#hosts;
	}

	/** Wall-clock time at which the last list was read, in milliseconds; `undefined` before the first one. */
	get listedAt(): number | undefined {
		return this.#listedAt;
	}

	/**
	 * Applies a new host list.
	 *
	 * @param hosts The list.
	 * @param now Wall-clock time, in milliseconds.
	 * @param listedAt Time at which the list was read, in milliseconds. Default now.
	 * @returns Known hosts whose listed state changed.
	 */
	update(hosts: Host[], now: number, listedAt = now): HostChange[] {
		const previous = this.#records;
		const listed = new Set(hosts.map(({name}) => name));
		const known = [...previous.values()].filter(({missingSince}) => missingSince === undefined).length;
		const missing = [...previous.values()].filter(({host}) => !listed.has(host.name));
		const shrunk = hosts.length < known * this.#options.shrunkListShare;
		this.#records = new Map(hosts.map(host => [host.name, this.#recordOf(host, previous.get(host.name), now)]));
		for (const record of missing) {
			this.#retainMissing(record, shrunk, now);
		}

		this.#listedAt = listedAt;
		this.#rebuild(now);
		return hosts.flatMap(({name, state}) => {
			const before = previous.get(name);
			return before && before.host.state !== state ? [{name, state}] : [];
		});
	}

	/** Records a hint that a host is leaving, before the list shows it. */
	markLeaving(host: string, now: number): void {
		this.#hints.set(host, {state: 'leaving', at: now});
		this.#rebuild(now);
	}

	/** Records a hint that a host is live again, before the list shows it. */
	markLive(host: string, now: number): void {
		this.#hints.set(host, {state: 'live', at: now});
		this.#rebuild(now);
	}

	/** Records whether a peer connection to a host is open. */
	markConnected(host: string, connected: boolean): void {
		if (connected) {
			this.#connected.add(host);
		} else {
			this.#connected.delete(host);
		}
	}

	/** Whether a host is known to be leaving. */
	isLeaving(host: Host, now: number): boolean {
		const hint = this.#hintOf(host.name, now);
		if (host.state === 'live') {
			return hint?.state === 'leaving';
		}

		const leavingSince = this.#records.get(host.name)?.leavingSince ?? now;
		return !(hint?.state === 'live' && hint.at > leavingSince);
	}

	/** Entry hosts that are not leaving. */
	entryHosts(now: number): Host[] {
		return this.hosts.filter(host => host.entry && !this.isLeaving(host, now));
	}

	/** Endpoints of a service that accept new work. */
	endpointsOf(service: string): readonly EndpointRecord[] {
		return this.#endpoints.get(service) ?? [];
	}

	/** Calls the listener with the hosts after each list or hint; returns a function that unsubscribes it. */
	onUpdate(listener: (hosts: readonly Host[]) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	#recordOf(host: Host, previous: HostRecord | undefined, now: number): HostRecord {
		const leavingSince = host.state === 'leaving' ? previous?.leavingSince ?? now : undefined;
		const hint = this.#hints.get(host.name);
		// The list has shown both the departure that the hint announced and the return, so the hint is obsolete.
		if (host.state === 'live' && previous?.leavingSince !== undefined && hint?.state === 'leaving' && hint.at <= previous.leavingSince) {
			this.#hints.delete(host.name);
		}

		return {
			host, leavingSince, missingSince: undefined, missingFromShrunkList: false,
		};
	}

	#retainMissing(record: HostRecord, shrunk: boolean, now: number): void {
		const missingSince = record.missingSince ?? now;
		const missingFromShrunkList = record.missingFromShrunkList || (record.missingSince === undefined && shrunk);
		const {name} = record.host;
		if (now - missingSince < this.#options.missingGraceMilliseconds && (missingFromShrunkList || this.#connected.has(name))) {
			this.#records.set(name, {...record, missingSince, missingFromShrunkList});
		}
	}

	#hintOf(name: string, now: number): HostHint | undefined {
		const hint = this.#hints.get(name);
		return hint && now - hint.at < this.#options.hintLifetimeMilliseconds ? hint : undefined;
	}

	#rebuild(now: number): void {
		const endpoints = new Map<string, EndpointRecord[]>();
		this.#hosts = [...this.#records.values()].map(({host}) => host);
		for (const host of this.#hosts) {
			if (this.isLeaving(host, now)) {
				continue;
			}

			for (const {service, address} of host.endpoints) {
				const records = endpoints.get(service) ?? [];
				records.push({
					address, service, host: host.name, availabilityZone: host.availabilityZone, region: host.region,
				});
				endpoints.set(service, records);
			}
		}

		this.#endpoints = endpoints;
		for (const listener of this.#listeners) {
			listener(this.hosts);
		}
	}
}
