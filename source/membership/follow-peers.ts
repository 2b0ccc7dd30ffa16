/**
 * Keeps one task for each chosen peer.
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

/** First delay before a peer is tried again that did not answer, in milliseconds. */
const firstRetryMilliseconds = 200;

/** Longest delay before it is tried again, in milliseconds. */
const longestRetryMilliseconds = 5000;

/** Time between two looks at whether a connection is needed, in milliseconds. */
const lookMilliseconds = 500;

/**
 * Serves peers, and connects to those chosen from each new host list and to the seeds while there is no list.
 *
 * @param context Parts that all connections share.
 * @param signal Ends the task and all connections.
 * @example
 * ```ts
 * supervisor.start('peers', signal => followPeers(context, signal));
 * ```
 */
export async function followPeers(context: PeerContext, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const server = await startPeerServer(context, signal);
	const supervisor = new Supervisor({logger: context.logger});
	let running = new Map<string, string>();
	let chosenFrom = '';
	const adjust = () => {
		const from = context.directory.hosts.map(({name, entry}) => `${name} ${entry?.peers}`).join('\n');
		if (from === chosenFrom) {
			return;
		}

		chosenFrom = from;
		const chosen = chosenAddresses(context);
		for (const [hostName, address] of running) {
			if (chosen.get(hostName) !== address) {
				void supervisor.stopTask(taskName(hostName, address));
			}
		}

		for (const [hostName, address] of chosen) {
			supervisor.start(taskName(hostName, address), async taskSignal => keepPeer(hostName, address, context, taskSignal));
		}

		running = chosen;
	};

	const unsubscribe = context.directory.onUpdate(adjust);
	adjust();
	for (const seed of context.settings.seeds) {
		supervisor.start(`seed ${seed}`, async taskSignal => keepSeed(seed, context, taskSignal));
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

/** Keeps a connection to one peer. Where both sides chose each other, the connection of the lower name stays. */
async function keepPeer(hostName: string, address: string, context: PeerContext, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const wanted = () => hostName > context.identity.hostName || !context.registry.isConnected(hostName, 'inbound');
	await keepConnected({
		address, context, signal, wanted,
	});
	return ok();
}

/** Keeps a connection to a seed while there is no host list or no other connection. */
async function keepSeed(address: string, context: PeerContext, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const {directory, registry} = context;
	await keepConnected({
		address, context, signal, wanted: () => directory.listedAt === undefined || registry.open.length <= 1,
	});
	return ok();
}

type KeepConnectedOptions = {address: string; context: PeerContext; signal: AbortSignal; wanted: () => boolean};

async function keepConnected({address, context, signal, wanted}: KeepConnectedOptions): Promise<void> {
	const {logger, random} = context;
	let retryMilliseconds = firstRetryMilliseconds;
	while (!signal.aborted) {
		if (!wanted()) {
			await pause(lookMilliseconds, signal);
			continue;
		}

		const end = await connectToPeer(address, context, {signal, wanted});
		logger.debug('peer connection ended', {address, peer: end.peer?.hostName, reason: end.reason});
		// A peer that had answered gets a new connection at once, since only the old one may be broken.
		const delayMilliseconds = end.peer ? 0 : retryMilliseconds;
		retryMilliseconds = end.peer ? firstRetryMilliseconds : Math.min(retryMilliseconds * 2, longestRetryMilliseconds);
		await pause(delayMilliseconds * (0.5 + random()), signal);
	}
}
