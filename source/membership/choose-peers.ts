/**
 * Which routers a router connects to.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import {type Host} from '../table-service/mod.ts';

/** Options of {@linkcode choosePeers}. */
export type ChoosePeersOptions = {
	/** Name of the host that chooses. */
	hostName: string;
	/** Its availability zone. */
	availabilityZone: string;
	/** Hosts to choose from. */
	hosts: readonly Host[];
	/** Number of peers in the same zone. */
	sameZone: number;
	/** Number of peers in other zones. */
	otherZones: number;
};

/**
 * Chooses a bounded set of peers by rendezvous hashing, so that a change of the list moves few links. The next host in order
 * of names is always among them: these links form a ring, which keeps the whole graph connected.
 *
 * @param options The host, the list and the bounds.
 * @returns The chosen hosts, in order of names.
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
