/**
 * The commands of azuretack-operate.
 *
 * @module
 */
import {err, ok} from 'neverthrow';
import * as z from 'zod';
import {claimCommand, settleCommand} from './claim-commands.ts';
import {type OperateCommand} from './command.ts';
import {explainRequest, formatExplanation} from './explain-request.ts';
import {formatStatus, readStatus} from './read-status.ts';
import {formatUsage, sumUsage} from './sum-usage.ts';

const drainAnswerSchema = z.object({leaving: z.literal(true)});

/** Commands by name. */
export const operateCommands: Record<string, OperateCommand> = {
	status: {
		parameters: [],
		async run(context) {
			const hosts = await context.hosts();
			if (hosts.isErr()) {
				return err(hosts.error);
			}

			const status = await readStatus(context.client, hosts.value);
			const value = {hosts: status.answers.map(({answer}) => answer), failures: status.failures};
			return ok({value, text: formatStatus(status), failures: status.failures});
		},
	},
	explain: {
		parameters: ['REQUEST'],
		async run(context, [name = '']) {
			const hosts = await context.hosts();
			if (hosts.isErr()) {
				return err(hosts.error);
			}

			const explanation = await explainRequest(context.client, hosts.value, name);
			if (explanation.spans.length === 0) {
				const missing = explanation.failures.map(({host, message}) => `; ${host} ${message}`);
				return err(`no host that answered knows a finished hop of "${name}"${missing.join('')}`);
			}

			return ok({value: explanation, text: formatExplanation(explanation), failures: explanation.failures});
		},
	},
	usage: {
		parameters: [],
		async run(context) {
			const usage = await sumUsage(context.platform);
			return usage.map(value => ({value, text: formatUsage(value), failures: []}));
		},
	},
	claim: claimCommand,
	settle: settleCommand,
	drain: {
		parameters: ['HOST'],
		async run(context, [name = '']) {
			const hosts = await context.hosts();
			if (hosts.isErr()) {
				return err(hosts.error);
			}

			const host = hosts.value.find(candidate => candidate.name === name);
			if (!host) {
				return err(`there is no entry host "${name}"; known: ${hosts.value.map(known => known.name).join(', ')}`);
			}

			const drained = await context.client.request(host, {method: 'POST', path: '/drain', schema: drainAnswerSchema});
			return drained
				.map(() => ({value: {host: name, leaving: true}, text: `${name} is leaving`, failures: []}))
				.mapErr(failure => `${failure.host} ${failure.message}`);
		},
	},
};
