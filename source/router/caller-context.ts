/**
 * Types that the handlers of caller requests share.
 *
 * @module
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Span} from '@opentelemetry/api';
import {type Admission, type BlockedRequests} from '../admission/mod.ts';
import {type CallParts} from '../calls/mod.ts';
import {type ActiveConfiguration, type Workspace} from '../configuration/mod.ts';
import {type GenerationParts} from '../generation/mod.ts';
import {
	type HintCache, type HostDirectory, type HostHints, type LoadTracker, type PeerRegistry, type RouterIdentity,
} from '../membership/mod.ts';
import {
	type CallerSocket, type ConnectionGuard, type Intake, type RequestIntake,
} from '../intake/mod.ts';
import {type PlatformClient} from '../table-service/mod.ts';
import {type RouterSettings} from '../settings/mod.ts';
import {type GracefulShutdown} from './graceful-shutdown.ts';

/** The router's components that serve callers. */
export type CallerParts = GenerationParts & {
	settings: RouterSettings;
	configuration: ActiveConfiguration;
	directory: HostDirectory;
	admission: Admission;
	identity: RouterIdentity;
	hints: HintCache;
	hostHints: HostHints;
	loads: LoadTracker;
	peers: PeerRegistry;
	platform: PlatformClient;
	/** Requests that every router refuses because they crash endpoints. */
	blockedRequests: BlockedRequests;
	shutdown: GracefulShutdown;
	/** What callers send, on all ports. */
	intake: Intake;
	/** Connections of callers that send requests. */
	connectionGuard: ConnectionGuard<CallerSocket>;
	calls: CallParts;
};

/** An authenticated caller request and its response. */
export type CallerExchange = {
	request: IncomingMessage;
	response: ServerResponse;
	/** Takes in the request. */
	intake: RequestIntake;
	/** Path and query of the request. */
	url: URL;
	/** Workspace that the caller's key belongs to. */
	workspace: Workspace;
	/** Identifies the request in logs, traces and responses. */
	requestName: string;
	span: Span;
	/** Aborts when the caller's connection closes. */
	signal: AbortSignal;
};
