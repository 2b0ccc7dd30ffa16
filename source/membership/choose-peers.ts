/**
 * Selects the routers that a router connects to.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import {type Host} from '../table-service/mod.ts';

/** Options of {@linkcode choosePeers}. */
export type ChoosePeersOptions = {
	/** Name of the host that connects. */
	hostName: string;
	/** Its availability zone. */
	availabilityZone: string;
	/** Hosts to choose from. */
	hosts: readonly Host[];
	/** Maximum number of peers in the same zone. */
	sameZone: number;
	/** Maximum number of peers in other zones. */
	otherZones: number;
};

/**
 * Chooses a bounded set of peers by rendezvous hashing, so that a change of the host list changes few connections. The next
 * host by name is always included: these connections form a ring, which keeps the whole graph connected.
 *
 * @param options The connecting host, the candidate hosts and the limits.
 * @returns The chosen hosts, sorted by name.
 * @example
 * ```ts
 * const peers = choosePeers({hostName: 'entry-1', availabilityZone: 'zone-a', hosts, sameZone: 4, otherZones: 4});
 * ```
 */
export function choosePeers(options: ChoosePeersOptions): Host[] {
	const {hostName, availabilityZone, sameZone, otherZones} = options;
	const others = options.hosts.filter(host => host.entry && host.name !== hostName)
		.toSorted((left, right) => left.name < right.name ? -1 : 1);
	const ranked = others.map(host => ({host, score: scoreOf(hostName, host.name)}))
		.toSorted((left, right) => left.score < right.score ? -1 : 1)
		.map(({host}) => host);
	const near = ranked.filter(host => host.availabilityZone === availabilityZone).slice(0, sameZone);
	const far = ranked.filter(host => host.availabilityZone !== availabilityZone).slice(0, otherZones);
	const next = others.find(host => host.name > hostName) ?? others[0];
	const chosen = new Set([...near, ...far]);
	if (next && sameZone + otherZones > 0) {
		chosen.add(next);
	}

	return others.filter(host => chosen.has(host));
}

function scoreOf(from: string, to: string): string {
	return createHash('sha256').update(`${from} ${to}`).digest('hex');
}
