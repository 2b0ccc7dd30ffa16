/**
 * Connects the duties to the router's other components.
 *
 * @module
 */
import {randomUUID} from 'node:crypto';
import {type Result} from 'neverthrow';
import {EngineReconciler, LeaseManager, pollDuties} from '../duties/mod.ts';
import {type TaskFailure} from '../supervision/mod.ts';
import {type CallerParts} from './caller-context.ts';

/** Ticks per lease term. */
const ticksPerTerm = 6;

/**
 * Takes part in the duties until the signal aborts. Leases that it holds then are not released but expire.
 *
 * @param parts The router's components.
 * @param signal Stops the task.
 * @example
 * ```ts
 * supervisor.start('duties', signal => runDuties(parts, signal));
 * ```
 */
export async function runDuties(parts: CallerParts, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const {platform, logger, engines, directory, configuration, shutdown, clock, wallClock, random} = parts;
	const {duties} = parts.settings;
	const keeper = new LeaseManager({
		platform,
		logger,
		clock,
		wallClock,
		random,
		holder: parts.identity.incarnation,
		termMilliseconds: duties.leaseMilliseconds,
		pollMilliseconds: () => Math.max(duties.lookMilliseconds, (directory.entryHosts(wallClock()).length / duties.leaseReadsPerSecond) * 1000),
		mayHold: () => duties.takePart && !shutdown.hasStarted,
		createToken: () => randomUUID(),
	});
	const orders = new EngineReconciler({
		engines,
		logger,
		clock,
		longestOrderMilliseconds: duties.longestOrderMilliseconds,
		settleMilliseconds: duties.settleMilliseconds,
		ordersAtOnce: duties.ordersAtOnce,
	});
	return pollDuties({
		leases: keeper,
		reconciler: orders,
		configuration,
		clock,
		random,
		endpointsOf: service => directory.endpointsOf(service).map(({address}) => address),
		tickMilliseconds: duties.leaseMilliseconds / ticksPerTerm,
		reconcileMilliseconds: duties.reconcileMilliseconds,
		engineReadsPerSecond: duties.engineReadsPerSecond,
	}, signal);
}
