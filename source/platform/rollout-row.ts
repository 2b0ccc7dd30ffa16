/**
 * Decodes the operator's orders of roll-outs, and encodes their states for it.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import * as z from 'zod';
import {type RolloutOrder, type RolloutRecord} from '../rollouts/rollout.ts';
import {versionOf, type RowLocation} from '../stored-rows/mod.ts';
import {parseJson} from './http-call.ts';

/** Start of the keys of orders in the operator's table, and of their states. */
const rolloutKeyPrefix = 'rollout/';

/** Table in which the operator reads states. */
const statusTable = 'status';

const orderSchema = z.object({service: z.string().min(1), to: z.string().min(1), durationS: z.number().positive()});

const stateOf: Record<RolloutRecord['phase'], string> = {
	running: 'running', promoted: 'running', completed: 'completed', 'rolled-back': 'rolled_back',
};

/** Whether a row of the operator's table is an order of a roll-out. */
export function isRolloutKey(key: string): boolean {
	return key.startsWith(rolloutKeyPrefix);
}

/**
 * Decodes an order.
 *
 * @param content Content of the row.
 * @param revision Revision of the row.
 * @returns The order, or a description of its faults.
 */
export function decodeRolloutOrder(content: Uint8Array, revision: number): Result<RolloutOrder, string> {
	const parsed = orderSchema.safeParse(parseJson(content));
	if (!parsed.success) {
		return err(parsed.error.issues.map(({path, message}) => `${path.join('.')}: ${message}`).join('; '));
	}

	const {service, to, durationS} = parsed.data;
	return ok({
		id: `${versionOf(revision)}/${to}/${durationS}`, service, to, durationMilliseconds: durationS * 1000,
	});
}

/** Returns the row in which the operator reads the state of a roll-out. */
export function encodeRolloutStatus({service, to, phase}: RolloutRecord): RowLocation & {content: string} {
	return {table: statusTable, key: `${rolloutKeyPrefix}${service}`, content: JSON.stringify({service, state: stateOf[phase], to})};
}
