/**
 * The router daemon: builds its parts and the supervisor tree that runs them.
 *
 * @module
 */
import {Admission} from '../admission/mod.ts';
import {ConfigurationInForce, followConfiguration} from '../configuration/mod.ts';
import {EngineClient} from '../endpoints/mod.ts';
import {HostDirectory, followHosts} from '../membership/mod.ts';
import {Placement} from '../placement/mod.ts';
import {PlatformClient} from '../platform/mod.ts';
import {type RouterSettings} from '../settings/mod.ts';
import {Supervisor, pause} from '../supervision/mod.ts';
import {createLogger, createMetrics, createTracing} from '../telemetry/mod.ts';
import {type CallerParts} from './caller-context.ts';
import {createCallerServer} from './caller-server.ts';
import {createCallParts} from './call-parts.ts';
import {runDuties} from './run-duties.ts';
import {Leaving} from './leaving.ts';
import {close, listen} from './listen.ts';
import {createOperatorServer} from './operator-server.ts';

/** A running router. */
export type Router = {
	/** Leaves gracefully: refuses nothing before callers can know, cuts off nothing in progress, then ends. */
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
	startTasks(supervisor, parts);
	const callerServer = createCallerServer(parts);
	const operatorServer = createOperatorServer(parts);
	await listen(callerServer, settings.callers.listen);
	await listen(operatorServer, settings.operators.listen);
	parts.logger.info('router listening', {callers: settings.callers.listen});
	return {
		async leave() {
			parts.leaving.begin(parts.wallClock(), settings.callers.entryTimeToLiveSeconds * 1000);
			await pause(parts.leaving.millisecondsUntilRefusing(parts.wallClock()));
			await parts.leaving.whenIdle();
			await close(callerServer);
			await supervisor.stop();
			await close(operatorServer);
			await parts.platform.close();
			await parts.engines.close();
			await parts.calls.serviceClient.close();
		},
	};
}

function createParts(settings: RouterSettings): CallerParts {
	const metrics = createMetrics();
	const directory = new HostDirectory();
	const parts = {
		settings,
		metrics,
		directory,
		logger: createLogger('router', {level: settings.log.level, fields: {host: settings.hostName}}),
		tracing: createTracing({hostName: settings.hostName}),
		configuration: new ConfigurationInForce(),
		admission: new Admission(),
		placement: new Placement({endpointsOf: service => directory.endpointsOf(service).map(({address}) => address)}),
		engines: new EngineClient(),
		leaving: new Leaving(),
		platform: new PlatformClient({
			url: settings.platform.url,
			timeoutMilliseconds: settings.platform.timeoutMilliseconds,
			observe(operation, outcome) {
				metrics.platformRequests.inc({operation, outcome});
			},
		}),
		clock: () => performance.now(),
		wallClock: () => Date.now(),
		random: () => Math.random(),
	};
	return {...parts, calls: createCallParts(parts)};
}

function startTasks(supervisor: Supervisor, parts: CallerParts): void {
	const {platform, directory, logger, settings, random, wallClock, configuration, metrics} = parts;
	configuration.onChange(({version}) => {
		metrics.configurationVersion.set(version);
	});
	supervisor.start('hosts', async signal => followHosts({
		platform, directory, logger, random, wallClock, periodMilliseconds: settings.platform.hostListMilliseconds,
	}, signal));
	supervisor.start('configuration', async signal => followConfiguration({
		platform, logger, random, inForce: configuration, periodMilliseconds: settings.platform.configurationMilliseconds,
	}, signal));
	supervisor.start('duties', async signal => runDuties(parts, signal));
}
