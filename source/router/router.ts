/**
 * The router daemon: creates its components and the supervisor tree that runs them.
 *
 * @module
 */
import {ActiveConfiguration} from '../configuration/mod.ts';
import {EngineClient} from '../endpoints/mod.ts';
import {PlatformClient} from '../table-service/mod.ts';
import {
	ConnectionGuard, Intake, intakeLimits, type CallerSocket,
} from '../intake/mod.ts';
import {type RouterSettings} from '../settings/mod.ts';
import {Supervisor} from '../supervision/mod.ts';
import {createLogger, createMetrics, createTracing} from '../telemetry/mod.ts';
import {listen} from '../supervision/listen.ts';
import {createAdmissionParts} from './admission-parts.ts';
import {type CallerParts} from './caller-context.ts';
import {createCallParts} from './call-parts.ts';
import {createCallerServer} from './caller-server.ts';
import {shutDownGracefully} from './shut-down.ts';
import {GracefulShutdown} from './graceful-shutdown.ts';
import {createOperatorServer} from './operator-server.ts';
import {runDuties} from './run-duties.ts';
import {createLimiter} from './create-limiter.ts';
import {createControlParts, startControl} from './start-control.ts';

/** A running router. */
export type Router = {
	/** Resolves once the router has shut down, whether by {@linkcode Router.stop} or by an operator's drain request. */
	stopped: Promise<void>;
	/** Shuts down gracefully: rejects no request until callers can know of the shutdown and completes those in progress; resolves once the router has stopped. */
	stop(): Promise<void>;
};

/**
 * Starts a router.
 *
 * @param settings Validated settings.
 * @returns The running router, once it is listening.
 * @throws {Error} If it cannot listen on an address.
 * @example
 * ```ts
 * const router = await startRouter(settings);
 * process.once('SIGTERM', () => void router.leave());
 * ```
 */
export async function startRouter(settings: RouterSettings): Promise<Router> {
	const parts = createParts(settings);
	const supervisor = new Supervisor({logger: parts.logger});
	const usageWriter = startControl(supervisor, parts);
	supervisor.start('duties', async signal => runDuties(parts, signal));
	const callerServer = createCallerServer(parts);
	const operatorServer = createOperatorServer(parts);
	await listen(callerServer, settings.callers.listen);
	await listen(operatorServer, settings.operators.listen);
	parts.logger.info('router listening', {callers: settings.callers.listen, incarnation: parts.identity.incarnation});
	const stopped = new Promise<void>(resolve => {
		parts.shutdown.onStart(() => {
			parts.hostHints.announce('leaving');
			resolve(shutDownGracefully({
				parts, supervisor, usageWriter, callerServer, operatorServer,
			}));
		});
	});
	return {
		stopped,
		async stop() {
			parts.shutdown.start(parts.wallClock());
			await stopped;
		},
	};
}

function createParts(settings: RouterSettings): CallerParts {
	const metrics = createMetrics();
	const clock = () => performance.now();
	const limits = intakeLimits(settings.resources);
	const logger = createLogger('router', {level: settings.log.level, fields: {host: settings.hostName}});
	const parts = {
		...createControlParts({settings, logger, wallClock: () => Date.now()}),
		settings,
		metrics,
		logger,
		tracing: createTracing({hostName: settings.hostName}),
		configuration: new ActiveConfiguration(),
		engines: new EngineClient({
			countBytes(bytes) {
				metrics.endpointBytes.inc(bytes);
			},
		}),
		shutdown: new GracefulShutdown({entryTimeToLiveMilliseconds: settings.callers.entryTimeToLiveSeconds * 1000}),
		platform: new PlatformClient({
			url: settings.platform.url,
			timeoutMilliseconds: settings.platform.timeoutMilliseconds,
			observe(operation, outcome, bytes) {
				metrics.platformRequests.inc({operation, outcome});
				metrics.platformBytes.inc(bytes);
			},
			onSkippedHost(reason) {
				logger.error('host on the host list cannot be decoded and is skipped', {reason});
			},
		}),
		clock,
		intake: new Intake({limits, clock}),
		connectionGuard: new ConnectionGuard<CallerSocket>(limits),
		wallClock: () => Date.now(),
		random: () => Math.random(),
	};
	const withAdmission = {...parts, ...createAdmissionParts(parts), limiter: createLimiter(parts)};
	return {...withAdmission, calls: createCallParts(withAdmission)};
}
