/**
 * The components through which routers coordinate: host list, hints, peers, configuration and accounts.
 *
 * @module
 */
import {randomBytes} from 'node:crypto';
import {
	WorkspaceUsage, PeerUsage, UsageStore, UsageWriter,
} from '../accounts/mod.ts';
import {followConfiguration, type ActiveConfiguration} from '../configuration/mod.ts';
import {
	ConfigurationExchange, HintCache, HostDirectory, HostHints, LoadTracker, PeerRegistry, followHosts, followPeers, type PeerContext, type RouterIdentity,
} from '../membership/mod.ts';
import {intakeLimits} from '../intake/mod.ts';
import {pollEndpoints, modelServices} from '../placement/mod.ts';
import {type RouterSettings} from '../settings/mod.ts';
import {type Supervisor} from '../supervision/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {type CallerParts} from './caller-context.ts';

/** Components that {@linkcode createControlParts} creates. */
export type ControlParts = {
	identity: RouterIdentity;
	directory: HostDirectory;
	hints: HintCache;
	hostHints: HostHints;
	loads: LoadTracker;
	peers: PeerRegistry;
	accounts: WorkspaceUsage;
};

/** Options of {@linkcode createControlParts}. */
export type ControlPartsOptions = {
	settings: RouterSettings;
	logger: Logger;
	/** Returns the wall-clock time, in milliseconds. */
	wallClock: () => number;
};

/**
 * Creates the coordination components of one router incarnation.
 *
 * @param options Settings, logger and wall clock.
 */
export function createControlParts({settings, logger, wallClock}: ControlPartsOptions): ControlParts {
	const {hostName} = settings;
	const directory = new HostDirectory();
	const hints = new HintCache();
	const startedAt = wallClock().toString(36);
	return {
		directory,
		hints,
		hostHints: new HostHints({
			hints, directory, logger, hostName, wallClock,
		}),
		identity: {hostName, incarnation: `${hostName}.${startedAt}.${randomBytes(3).toString('hex')}`},
		loads: new LoadTracker(),
		peers: new PeerRegistry(),
		accounts: new WorkspaceUsage(),
	};
}

/**
 * Starts the tasks that keep the components up to date.
 *
 * @param supervisor Runs the tasks.
 * @param parts The router's components.
 * @returns The writer of usage totals, for the final write during a shutdown.
 */
export function startControl(supervisor: Supervisor, parts: CallerParts): UsageWriter {
	const {platform, directory, logger, settings, random, wallClock, configuration, identity, hostHints} = parts;
	const receivedUsage = new PeerUsage({localUsage: parts.accounts});
	const usageWriter = new UsageWriter({
		identity,
		peerUsage: receivedUsage,
		logger,
		random,
		wallClock,
		store: new UsageStore(platform),
		periodMilliseconds: settings.platform.usageMilliseconds,
		liveRouters: () => directory.entryHosts(wallClock()).length,
	});
	const peerContext = createPeerContext(parts, configuration, receivedUsage);
	supervisor.start('hosts', async signal => followHosts({
		platform,
		directory,
		logger,
		random,
		wallClock,
		periodMilliseconds: settings.platform.hostListMilliseconds,
		onChanges(changes) {
			hostHints.publishListChanges(changes);
		},
	}, signal));
	supervisor.start('configuration', async signal => followConfiguration({
		platform, logger, random, active: configuration, periodMilliseconds: settings.platform.configurationMilliseconds,
	}, signal));
	supervisor.start('peers', async signal => followPeers(peerContext, signal));
	supervisor.start('refused', async signal => parts.blockedRequests.follow(signal));
	supervisor.start('endpoints', async signal => pollEndpoints({
		placement: parts.placement, engines: parts.engines, clock: parts.clock, random, services: () => modelServices(configuration),
	}, signal));
	supervisor.start('leases of limited endpoints', async signal => parts.limiter.maintain(signal));
	supervisor.start('usage', async signal => usageWriter.run(signal));
	return usageWriter;
}

function createPeerContext(parts: CallerParts, configuration: ActiveConfiguration, usage: PeerUsage): PeerContext {
	const {settings, metrics} = parts;
	return {
		...parts,
		configuration,
		usage,
		settings: settings.peers,
		peerConnections: intakeLimits(settings.resources).peerConnections,
		availabilityZone: settings.availabilityZone,
		exchange: new ConfigurationExchange(configuration),
		registry: parts.peers,
		answerPermit: request => parts.limiter.answer(request),
		countBytes(bytes) {
			metrics.peerBytes.inc(bytes);
		},
	};
}
