/**
 * What all connections to peers share.
 *
 * @module
 */
import {type ActiveConfiguration} from '../configuration/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {type ConfigurationExchange} from './configuration-exchange.ts';
import {type HintBoard} from './hint-board.ts';
import {type HostDirectory} from './host-directory.ts';
import {type LoadBoard} from './load-board.ts';
import {type PeerRegistry} from './peer-registry.ts';
import {type RouterIdentity, type UsageExchange} from './usage-exchange.ts';

/** Settings of the connections between routers. */
export type PeerSettings = {
	/** Address that peers connect to. */
	listen: string;
	/** Key that all peers share. */
	key: string;
	sameZone: number;
	otherZones: number;
	/** Addresses of peers to ask while no host list is known. */
	seeds: string[];
	heartbeatMilliseconds: number;
	/** Time between two reports of usage to a keeper, in milliseconds. */
	usageHintMilliseconds: number;
	/** Change in tokens from which a peer is told a load again; 0 tells it with each heartbeat. */
	loadRadiusTokens: number;
};

/** What all connections to peers share. */
export type PeerContext = {
	identity: RouterIdentity;
	availabilityZone: string;
	settings: PeerSettings;
	directory: HostDirectory;
	configuration: ActiveConfiguration;
	exchange: ConfigurationExchange;
	hints: HintBoard;
	loads: LoadBoard;
	usage: UsageExchange;
	registry: PeerRegistry;
	logger: Logger;
	/** Called with the bytes of each message sent. */
	countBytes: (bytes: number) => void;
	/** Returns the monotonic time, in milliseconds. */
	clock: () => number;
	/** Returns the wall-clock time, in milliseconds. */
	wallClock: () => number;
	/** Returns a random number from 0 to 1. */
	random: () => number;
};
