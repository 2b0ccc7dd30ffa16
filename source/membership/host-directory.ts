/**
 * The hosts that this router knows, live and leaving.
 *
 * @module
 */
import {type Host} from '../table-service/mod.ts';

/** Options of {@linkcode HostDirectory}. */
export type HostDirectoryOptions = {
	/** Time for which a hint about a host outlives a host list that says otherwise, in milliseconds. Default 600,000. */
	hintMilliseconds?: number;
	/** Time for which hosts are kept that a suddenly shorter list lacks, or whose peer connection lives, in milliseconds. Default 60,000. */
	missingMilliseconds?: number;
	/** Share of the known hosts below which a list counts as suddenly shorter. Default 0.7. */
	shorterShare?: number;
};

/** An endpoint and the host that it runs on. */
export type EndpointRecord = {address: string; service: string; host: string; availabilityZone: string; region: string};

/** Whether a host takes new work. */
export type HostState = 'live' | 'leaving';

/** A host whose state on the list changed. */
export type HostChange = {name: string; state: HostState};

type HostRecord = {
	host: Host;
	/** Time from which the list has called it leaving. */
	leavingSince: number | undefined;
	/** Time from which the list has lacked it. */
	missingSince: number | undefined;
	/** Whether it went missing together with many others. */
	missingWithMany: boolean;
};

type HostHint = {state: HostState; at: number};

/**
 * Merges the platform's list, which lags, with hints that arrive sooner.
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
			hintMilliseconds: 600_000, missingMilliseconds: 60_000, shorterShare: 0.7, ...options,
		};
	}

	/** Hosts of the last list, and those kept although it lacks them. */
	get hosts(): readonly Host[] {
		return this.#hosts;
	}

	/** Wall-clock time at which the last list was read, in milliseconds; `undefined` before the first one. */
	get listedAt(): number | undefined {
		return this.#listedAt;
	}

	/**
	 * Takes a new list of the platform.
	 *
	 * @param hosts The list.
	 * @param now Wall-clock time, in milliseconds.
	 * @param listedAt Time at which the list was read, in milliseconds. Default now.
	 * @returns Known hosts whose state changed on the list.
	 */
	update(hosts: Host[], now: number, listedAt = now): HostChange[] {
		const previous = this.#records;
		const listed = new Set(hosts.map(({name}) => name));
		const known = [...previous.values()].filter(({missingSince}) => missingSince === undefined).length;
		const missing = [...previous.values()].filter(({host}) => !listed.has(host.name));
		const shorter = hosts.length < known * this.#options.shorterShare;
		this.#records = new Map(hosts.map(host => [host.name, this.#recordOf(host, previous.get(host.name), now)]));
		for (const record of missing) {
			this.#keepMissing(record, shorter, now);
		}

		this.#listedAt = listedAt;
		this.#rebuild(now);
		return hosts.flatMap(({name, state}) => {
			const before = previous.get(name);
			return before && before.host.state !== state ? [{name, state}] : [];
		});
	}

	/** Records a hint that a host is leaving, before the list says so. */
	markLeaving(host: string, now: number): void {
		this.#hints.set(host, {state: 'leaving', at: now});
		this.#rebuild(now);
	}

	/** Records a hint that a host is live again, before the list says so. */
	markLive(host: string, now: number): void {
		this.#hints.set(host, {state: 'live', at: now});
		this.#rebuild(now);
	}

	/** Records whether a peer connection to a host lives. */
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

	/** Endpoints of a service that take new work. */
	endpointsOf(service: string): readonly EndpointRecord[] {
		return this.#endpoints.get(service) ?? [];
	}

	/** Calls back with the hosts after each list; returns a function that stops it. */
	onUpdate(listener: (hosts: readonly Host[]) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	#recordOf(host: Host, previous: HostRecord | undefined, now: number): HostRecord {
		const leavingSince = host.state === 'leaving' ? previous?.leavingSince ?? now : undefined;
		const hint = this.#hints.get(host.name);
		// The list has caught up with the departure that the hint told of, and with the return.
		if (host.state === 'live' && previous?.leavingSince !== undefined && hint?.state === 'leaving' && hint.at <= previous.leavingSince) {
			this.#hints.delete(host.name);
		}

		return {
			host, leavingSince, missingSince: undefined, missingWithMany: false,
		};
	}

	#keepMissing(record: HostRecord, shorter: boolean, now: number): void {
		const missingSince = record.missingSince ?? now;
		const missingWithMany = record.missingWithMany || (record.missingSince === undefined && shorter);
		const {name} = record.host;
		if (now - missingSince < this.#options.missingMilliseconds && (missingWithMany || this.#connected.has(name))) {
			this.#records.set(name, {...record, missingSince, missingWithMany});
		}
	}

	#hintOf(name: string, now: number): HostHint | undefined {
		const hint = this.#hints.get(name);
		return hint && now - hint.at < this.#options.hintMilliseconds ? hint : undefined;
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
