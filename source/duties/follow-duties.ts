/**
 * Takes part in the duties of every model service.
 *
 * @module
 */
import {
	ok, type Result,
} from 'neverthrow';
import {type ConfigurationInForce, type ModelService} from '../configuration/mod.ts';
import {poll, type TaskFailure} from '../supervision/mod.ts';
import {engineDuty} from './lease.ts';
import {type LeaseKeeper} from './lease-keeper.ts';
import {type EngineOrders} from './order-engines.ts';
import {wantedEngines} from './wanted-state.ts';

/** Options of {@linkcode followDuties}. */
export type FollowDutiesOptions = {
	keeper: LeaseKeeper;
	orders: EngineOrders;
	configuration: ConfigurationInForce;
	/** Returns the addresses of a service's engines that are not leaving. */
	endpointsOf: (service: string) => readonly string[];
	/** Time between two ticks, in milliseconds; what is due is done at a tick. */
	tickMilliseconds: number;
	/** Time between two rounds over the engines of a held duty at least, in milliseconds. */
	reconcileMilliseconds: number;
	/** Engines of a duty that are read in a second, on average. */
	engineReadsPerSecond: number;
	/** Returns the monotonic time, in milliseconds. */
	clock: () => number;
	/** Returns a random number from 0 to 1. */
	random: () => number;
};

const millisecondsPerSecond = 1000;

/** Rounds over one duty's engines: whether one is in progress, when the next is due, and for which wanted state. */
type Round = {busy: boolean; dueAt: number; wanted: string};

/**
 * Keeps this router's part in the leases, and the engines of held duties in the wanted state.
 *
 * @param options Leases, orders and configuration.
 * @param signal Ends the task.
 * @example
 * ```ts
 * supervisor.start('duties', signal => followDuties(options, signal));
 * ```
 */
export async function followDuties(options: FollowDutiesOptions, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const {keeper, configuration, tickMilliseconds, random} = options;
	const rounds = new Map<string, Round>();
	const tick = async () => {
		const services = modelServices(configuration);
		await keeper.tick(services.map(({service}) => engineDuty(service)));
		return services;
	};

	await poll(tick, {periodMilliseconds: tickMilliseconds, random, signal}).observe(services => {
		for (const service of services) {
			void reconcileIfDue(service, options, rounds);
		}
	});
	return ok();
}

function modelServices(configuration: ConfigurationInForce): ModelService[] {
	return configuration.ready ? (configuration.current?.services ?? []).filter(service => service.kind === 'model') : [];
}

/** Starts a round over a held duty's engines if it is due or the wanted state has changed; leases are renewed meanwhile. */
async function reconcileIfDue(service: ModelService, options: FollowDutiesOptions, rounds: Map<string, Round>): Promise<void> {
	const {keeper, orders, configuration, endpointsOf, reconcileMilliseconds, engineReadsPerSecond, clock} = options;
	const duty = engineDuty(service.service);
	const round = rounds.get(duty) ?? {busy: false, dueAt: 0, wanted: ''};
	rounds.set(duty, round);
	if (round.busy || !keeper.held(duty)) {
		return;
	}

	const engines = wantedEngines({service, services: modelServices(configuration), endpointsOf});
	const wanted = JSON.stringify(engines);
	if (clock() < round.dueAt && wanted === round.wanted) {
		return;
	}

	const {version} = configuration;
	Object.assign(round, {busy: true, wanted});
	await orders.reconcile({
		engines,
		checkFencing: service.enginesCheckFencing,
		// A newer configuration ends the round; the next one orders its state.
		held: () => configuration.version === version ? keeper.held(duty) : undefined,
	});
	round.busy = false;
	round.dueAt = configuration.version === version
		? clock() + Math.max(reconcileMilliseconds, (engines.length / engineReadsPerSecond) * millisecondsPerSecond)
		: clock();
}
