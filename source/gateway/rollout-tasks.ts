/**
 * Starts the tasks that conduct roll-outs.
 *
 * @module
 */
import {encodeRolloutStatus} from '../platform/mod.ts';
import {RolloutConductor, RolloutTable} from '../rollouts/mod.ts';
import {type Supervisor} from '../supervision/supervisor.ts';
import {type GatewayParts} from './gateway-parts.ts';
import {processName} from './rollout-state.ts';

/**
 * Starts the tasks, if the deployment has roll-outs.
 *
 * @param supervisor Runs the tasks.
 * @param parts The gateway's components.
 * @param followsStore Returns whether this gateway follows the store now; only such a gateway conducts roll-outs.
 */
export function startRollouts(supervisor: Supervisor, parts: GatewayParts, followsStore: () => boolean): void {
	const {rollouts, store, members, configuration, shutdown, logger, clock, random} = parts;
	if (!rollouts) {
		return;
	}

	const table = new RolloutTable({
		store, self: processName(members.self), host: members.self.name, statusRow: encodeRolloutStatus, logger,
	});
	const conductor = new RolloutConductor({
		rollouts,
		table,
		mayConduct: () => followsStore() && !shutdown.hasStarted,
		knowsService: service => configuration.table?.findService(service) !== undefined,
		gateways: () => members.live(clock()).map(member => processName(member)),
		logger,
		clock,
		random,
	});
	supervisor.start('conducting roll-outs', async signal => conductor.conduct(signal));
	supervisor.start('evidence of roll-outs', async signal => conductor.writeEvidence(signal));
}
