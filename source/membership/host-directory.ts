/**
 * The hosts that this router knows, live and leaving.
 *
 * @module
 */
import {type Host} from '../platform/mod.ts';

/** Options of {@linkcode HostDirectory}. */
export type HostDirectoryOptions = {
	/** Time for which a hint that a host is leaving outlives a host list that still calls it live, in milliseconds. Default 60,000. */
	leavingHintMilliseconds?: number;
};

/** An endpoint and the host that it runs on. */
export type EndpointRecord = {address: string; service: string; host: string; availabilityZone: string; region: string};

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
	readonly #leavingHintMilliseconds: number;
	#hosts: Host[] = [];
	#endpoints = new Map<string, EndpointRecord[]>();
	readonly #leavingUntil = new Map<string, number>();

	constructor(options: HostDirectoryOptions = {}) {
		this.#leavingHintMilliseconds = options.leavingHintMilliseconds ?? 60_000;
	}

	/** Hosts of the last list. */
	get hosts(): readonly Host[] {
		return this.#hosts;
	}

	/** Takes a new list of the platform. */
	update(hosts: Host[], now: number): void {
		this.#hosts = hosts;
		this.#rebuild(now);
	}

	/** Records a hint that a host is leaving, before the list says so. */
	markLeaving(host: string, now: number): void {
		this.#leavingUntil.set(host, now + this.#leavingHintMilliseconds);
		this.#rebuild(now);
	}

	/** Whether a host is known to be leaving. */
	isLeaving(host: Host, now: number): boolean {
		return host.state === 'leaving' || (this.#leavingUntil.get(host.name) ?? 0) > now;
	}

	/** Entry hosts that are not leaving. */
	entryHosts(now: number): Host[] {
		return this.#hosts.filter(host => host.entry && !this.isLeaving(host, now));
	}

	/** Endpoints of a service that take new work. */
	endpointsOf(service: string): readonly EndpointRecord[] {
		return this.#endpoints.get(service) ?? [];
	}

	#rebuild(now: number): void {
		const endpoints = new Map<string, EndpointRecord[]>();
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
	}
}
