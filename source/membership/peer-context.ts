/**
 * Settings and state shared by all connections to peers.
 *
 * @module
 */
import {type ActiveConfiguration} from '../configuration/mod.ts';
import {type PermitReply, type PermitRequest} from '../limits/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {type ConfigurationExchange} from './configuration-exchange.ts';
import {type HintCache} from './hint-cache.ts';
import {type HostDirectory} from './host-directory.ts';
import {type LoadTracker} from './load-tracker.ts';
import {type PeerRegistry} from './peer-registry.ts';
import {type RouterIdentity, type UsageExchange} from './usage-exchange.ts';

/** Settings of the connections between routers. */
export type PeerSettings = {
	/** Address to listen on for connections from peers. */
	listen: string;
	/** Secret key shared by all peers. */
	key: string;
	sameZone: number;
	otherZones: number;
	/** Addresses of peers to connect to while there is no host list or no other connection. */
	seeds: string[];
	heartbeatMilliseconds: number;
	/** Minimum interval between usage reports to a peer that holds this router's totals, in milliseconds. */
	usageHintMilliseconds: number;
	/** Change in tokens from which a load is sent to a peer again; 0 sends it with each heartbeat. */
	loadRadiusTokens: number;
};

/** Settings and state shared by all connections to peers. */
export type PeerContext = {
	identity: RouterIdentity;
	availabilityZone: string;
	settings: PeerSettings;
	/** Connections of other routers at a time. */
	peerConnections: number;
	directory: HostDirectory;
	configuration: ActiveConfiguration;
	exchange: ConfigurationExchange;
	hints: HintCache;
	loads: LoadTracker;
	usage: UsageExchange;
	registry: PeerRegistry;
	logger: Logger;
	/** Answers a request of another router for a permit to use a limited endpoint. */
	answerPermit: (request: PermitRequest) => PermitReply;
	/** Called with the size of each sent message, in bytes. */
	countBytes: (bytes: number) => void;
	/** Returns the monotonic time, in milliseconds. */
	clock: () => number;
	/** Returns the wall-clock time, in milliseconds. */
	wallClock: () => number;
	/** Returns a random number from 0 to 1. */
	random: () => number;
};
