/**
 * Commands that show and settle the claim of an at-most-once call.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import * as z from 'zod';
import {
	readClaim, settleClaim, type Claim, type ClaimName,
} from '../calls/mod.ts';
import {type CommandContext, type OperateCommand, type CommandReport} from './command.ts';
import {formatTextTable} from './text-table.ts';

const incarnationSchema = z.object({incarnation: z.string()});

const runSchema = z.enum(['yes', 'no']);

/** Shows a claim. */
export const claimCommand: OperateCommand = {
	parameters: ['WORKSPACE', 'SERVICE', 'KEY'],
	async run({platform}, parameters) {
		const claim = await readClaim(platform, claimNameFromParameters(parameters));
		return claim.map(found => createClaimReport(found)).mapErr(({message}) => message);
	},
};

/**
 * Settles a claim whose outcome no router can determine.
 *
 * A claim in state `running` is withdrawn only if the operator confirms that its router has ended and no router that
 * responds has the incarnation of the claim: a paused router could still send the call after it resumes.
 */
export const settleCommand: OperateCommand = {
	parameters: ['WORKSPACE', 'SERVICE', 'KEY', 'yes|no'],
	async run(context, parameters) {
		const name = claimNameFromParameters(parameters);
		const run = runSchema.safeParse(parameters[3]);
		if (!run.success) {
			return err('specify whether the call has run: yes or no');
		}

		if (context.operator === undefined) {
			return err('specify with --as NAME who settles the claim; the name is stored in it');
		}

		const claim = await readClaim(context.platform, name);
		if (claim.isErr()) {
			return err(claim.error.message);
		}

		const checked = run.data === 'no' && claim.value.state === 'running' ? await checkRouterEnded(context, claim.value) : ok();
		if (checked.isErr()) {
			return err(checked.error);
		}

		const settled = await settleClaim(context.platform, {
			name, run: run.data, operator: context.operator, now: context.wallClock(), token: context.newName(),
		});
		return settled.map(found => createClaimReport(found)).mapErr(({message}) => message);
	},
};

async function checkRouterEnded(context: CommandContext, claim: Claim): Promise<Result<void, string>> {
	if (!context.routerEnded) {
		return err(`according to the claim, router ${claim.router} runs the call; make sure that this process has ended, then add --router-ended`);
	}

	const hosts = await context.hosts();
	if (hosts.isErr()) {
		return err(hosts.error);
	}

	const {answers} = await context.client.requestAll(hosts.value, {path: '/status', schema: incarnationSchema});
	const alive = answers.find(({answer}) => answer.incarnation === claim.router);
	return alive ? err(`router ${claim.router} is alive on host ${alive.host}`) : ok();
}

function claimNameFromParameters([workspace = '', service = '', idempotencyKey = '']: string[]): ClaimName {
	return {workspace, service, idempotencyKey};
}

function createClaimReport(claim: Claim): CommandReport {
	const {state, router, endsBefore, answer, settledBy} = claim;
	const rows = [
		['state', state],
		['router', router],
		['ends before', new Date(endsBefore).toISOString()],
		['answer status', answer ? String(answer.status) : 'none'],
		['settled by', settledBy?.operator ?? 'nobody'],
	];
	return {value: claim, text: formatTextTable(['field', 'value'], rows), failures: []};
}
