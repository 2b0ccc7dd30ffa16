/**
 * The router daemon: builds its parts and the supervisor tree that runs them.
 *
 * @module
 */
import {ActiveConfiguration} from '../configuration/mod.ts';
import {EngineClient} from '../endpoints/mod.ts';
import {PlatformClient} from '../table-service/mod.ts';
import {type RouterSettings} from '../settings/mod.ts';
import {Supervisor} from '../supervision/mod.ts';
import {createLogger, createMetrics, createTracing} from '../telemetry/mod.ts';
import {listen} from '../supervision/listen.ts';
import {createAdmissionParts} from './admission-parts.ts';
import {type CallerParts} from './caller-context.ts';
import {createCallParts} from './call-parts.ts';
import {createCallerServer} from './caller-server.ts';
import {leaveGracefully} from './leave.ts';
import {Leaving} from './leaving.ts';
import {createOperatorServer} from './operator-server.ts';
import {runDuties} from './run-duties.ts';
import {createControlParts, startControl} from './start-control.ts';

/** A running router. */
export type Router = {
	/** Settles once the router has left, whoever asked it to. */
	left: Promise<void>;
	/** Begins to leave gracefully: refuses nothing before callers can know, cuts off nothing in progress, then ends. */
	leave(): Promise<void>;
};

/**
 * Starts a router.
 *
 * @param settings Checked settings.
 * @returns The running router, once it listens.
 * @throws {Error} When an address cannot be listened on.
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
	const left = new Promise<void>(resolve => {
		parts.leaving.onBegin(() => {
			parts.hostHints.announce('leaving');
			resolve(leaveGracefully({
				parts, supervisor, usageWriter, callerServer, operatorServer,
			}));
		});
	});
	return {
		left,
		async leave() {
			parts.leaving.begin(parts.wallClock());
			await left;
		},
	};
}

function createParts(settings: RouterSettings): CallerParts {
	const metrics = createMetrics();
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
		leaving: new Leaving({entryTimeToLiveMilliseconds: settings.callers.entryTimeToLiveSeconds * 1000}),
		platform: new PlatformClient({
			url: settings.platform.url,
			timeoutMilliseconds: settings.platform.timeoutMilliseconds,
			observe(operation, outcome, bytes) {
				metrics.platformRequests.inc({operation, outcome});
				metrics.platformBytes.inc(bytes);
			},
		}),
		clock: () => performance.now(),
		wallClock: () => Date.now(),
		random: () => Math.random(),
	};
	const placed = {...parts, ...createAdmissionParts(parts)};
	return {...placed, calls: createCallParts(placed)};
}
