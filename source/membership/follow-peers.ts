/**
 * Runs one connection task for each chosen peer.
 *
 * @module
 */
import {ok, type Result} from 'neverthrow';
import {
	Supervisor, pause, type TaskFailure,
} from '../supervision/mod.ts';
import {choosePeers} from './choose-peers.ts';
import {type PeerContext} from './peer-context.ts';
import {connectToPeer, startPeerServer} from './peer-server.ts';

/** Initial delay before reconnecting to a peer that did not respond, in milliseconds. */
const initialRetryMilliseconds = 200;

/** Maximum reconnection delay, in milliseconds. */
const maxRetryMilliseconds = 5000;

/** Interval between checks whether a connection is needed, in milliseconds. */
const checkIntervalMilliseconds = 500;

/**
 * Accepts connections from peers, and connects to the peers chosen from each new host list, and to the seeds while there is no list.
 *
 * @param context State shared by all connections.
 * @param signal Stops the task and all connections.
 * @example
 * ```ts
 * supervisor.start('peers', signal => followPeers(context, signal));
 * ```
 */
export async function followPeers(context: PeerContext, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const server = await startPeerServer(context, signal);
	const supervisor = new Supervisor({logger: context.logger});
	let running = new Map<string, string>();
	let appliedHostsKey = '';
	const reconcile = () => {
		const hostsKey = context.directory.hosts.map(({name, entry}) => `${name} ${entry?.peers}`).join('\n');
		if (hostsKey === appliedHostsKey) {
			return;
		}

		appliedHostsKey = hostsKey;
		const chosen = chosenAddresses(context);
		for (const [hostName, address] of running) {
			if (chosen.get(hostName) !== address) {
				void supervisor.stopTask(taskName(hostName, address));
			}
		}

		for (const [hostName, address] of chosen) {
			supervisor.start(taskName(hostName, address), async taskSignal => maintainPeer(hostName, address, context, taskSignal));
		}

		running = chosen;
	};

	const unsubscribe = context.directory.onUpdate(reconcile);
	reconcile();
	for (const seed of context.settings.seeds) {
		supervisor.start(`seed ${seed}`, async taskSignal => maintainSeed(seed, context, taskSignal));
	}

	await new Promise<void>(resolve => {
		signal.addEventListener('abort', () => {
			resolve();
		});
	});
	unsubscribe();
	await supervisor.stop();
	server.close();
	return ok();
}

function taskName(hostName: string, address: string): string {
	return `peer ${hostName} ${address}`;
}

function chosenAddresses({identity, availabilityZone, directory, settings}: PeerContext): Map<string, string> {
	const {sameZone, otherZones} = settings;
	const chosen = choosePeers({
		hostName: identity.hostName, availabilityZone, hosts: directory.hosts, sameZone, otherZones,
	});
	return new Map(chosen.map(host => [host.name, host.entry!.peers]));
}

/** Maintains a connection to one peer. If both sides chose each other, only the connection opened by the host with the lower name is kept. */
async function maintainPeer(hostName: string, address: string, context: PeerContext, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const wanted = () => hostName > context.identity.hostName || !context.registry.isConnected(hostName, 'inbound');
	await maintainConnection({
		address, context, signal, wanted,
	});
	return ok();
}

/** Maintains a connection to a seed while there is no host list or no other connection. */
async function maintainSeed(address: string, context: PeerContext, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const {directory, registry} = context;
	await maintainConnection({
		address, context, signal, wanted: () => directory.listedAt === undefined || registry.open.length <= 1,
	});
	return ok();
}

type MaintainConnectionOptions = {address: string; context: PeerContext; signal: AbortSignal; wanted: () => boolean};

async function maintainConnection({address, context, signal, wanted}: MaintainConnectionOptions): Promise<void> {
	const {logger, random} = context;
	let retryMilliseconds = initialRetryMilliseconds;
	while (!signal.aborted) {
		if (!wanted()) {
			await pause(checkIntervalMilliseconds, signal);
			continue;
		}

		const end = await connectToPeer(address, context, {signal, wanted});
		logger.debug('peer connection ended', {address, peer: end.peer?.hostName, reason: end.reason});
		// Reconnects at once to a peer that had responded, since possibly only the old connection is broken.
		const delayMilliseconds = end.peer ? 0 : retryMilliseconds;
		retryMilliseconds = end.peer ? initialRetryMilliseconds : Math.min(retryMilliseconds * 2, maxRetryMilliseconds);
		await pause(delayMilliseconds * (0.5 + random()), signal);
	}
}
