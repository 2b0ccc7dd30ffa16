/**
 * Polls the leases of the duties and reconciles the engines of those that this router holds.
 *
 * @module
 */
import {
	ok, type Result,
} from 'neverthrow';
import {type ActiveConfiguration, type ModelService} from '../configuration/mod.ts';
import {poll, type TaskFailure} from '../supervision/mod.ts';
import {engineDuty} from './lease.ts';
import {type LeaseManager} from './lease-manager.ts';
import {type EngineReconciler} from './reconcile-engines.ts';
import {desiredEngines} from './desired-state.ts';

/** Options of {@linkcode pollDuties}. */
export type PollDutiesOptions = {
	leases: LeaseManager;
	reconciler: EngineReconciler;
	configuration: ActiveConfiguration;
	/** Returns the addresses of a service's engines that are not leaving. */
	endpointsOf: (service: string) => readonly string[];
	/** Interval at which due work is started, in milliseconds. */
	tickMilliseconds: number;
	/** Minimum time between two reconciliation rounds over the engines of a held duty, in milliseconds. */
	reconcileMilliseconds: number;
	/** Average number of engines of a duty that are read each second. */
	engineReadsPerSecond: number;
	/** Returns the monotonic time, in milliseconds. */
	clock: () => number;
	/** Returns a random number from 0 to 1. */
	random: () => number;
};

const millisecondsPerSecond = 1000;

/** Reconciliation rounds of one duty: whether one is in progress, the monotonic time at which the next is due, and the desired state of the last. */
type Round = {busy: boolean; dueAt: number; desiredState: string};

/**
 * Acquires and renews the leases of all duties, and keeps the engines of held duties in their desired state.
 *
 * @param options Leases, reconciler, configuration and intervals.
 * @param signal Ends the task.
 * @example
 * ```ts
 * supervisor.start('duties', signal => pollDuties(options, signal));
 * ```
 */
export async function pollDuties(options: PollDutiesOptions, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const {leases, configuration, tickMilliseconds, random} = options;
	const rounds = new Map<string, Round>();
	const tick = async () => {
		const services = modelServices(configuration);
		await leases.tick(services.map(({service}) => engineDuty(service)));
		return services;
	};

	await poll(tick, {periodMilliseconds: tickMilliseconds, random, signal}).observe(services => {
		for (const service of services) {
			void reconcileIfDue(service, options, rounds);
		}
	});
	return ok();
}

function modelServices(configuration: ActiveConfiguration): ModelService[] {
	return configuration.ready ? (configuration.current?.services ?? []).filter(service => service.kind === 'model') : [];
}

/** Runs a round over the engines of a held duty if it is due or the desired state has changed; leases are renewed in the meantime. */
async function reconcileIfDue(service: ModelService, options: PollDutiesOptions, rounds: Map<string, Round>): Promise<void> {
	const {leases, reconciler, configuration, endpointsOf, reconcileMilliseconds, engineReadsPerSecond, clock} = options;
	const duty = engineDuty(service.service);
	const round = rounds.get(duty) ?? {busy: false, dueAt: 0, desiredState: ''};
	rounds.set(duty, round);
	if (round.busy || !leases.heldLease(duty)) {
		return;
	}

	const engines = desiredEngines({service, services: modelServices(configuration), endpointsOf});
	const desiredState = JSON.stringify(engines);
	if (clock() < round.dueAt && desiredState === round.desiredState) {
		return;
	}

	const {version} = configuration;
	Object.assign(round, {busy: true, desiredState});
	await reconciler.reconcile({
		engines,
		checkFencing: service.enginesCheckFencing,
		// A newer configuration ends the round; the next round applies it.
		heldLease: () => configuration.version === version ? leases.heldLease(duty) : undefined,
	});
	round.busy = false;
	round.dueAt = configuration.version === version
		? clock() + Math.max(reconcileMilliseconds, (engines.length / engineReadsPerSecond) * millisecondsPerSecond)
		: clock();
}
