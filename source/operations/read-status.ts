/**
 * Reads and formats the status of every router.
 *
 * @module
 */
import * as z from 'zod';
import {
	type HostResponses, type OperatorHost, type OperatorClient,
} from './operator-client.ts';
import {formatTextTable} from './text-table.ts';

/** Response of `GET /status` on an operator port; unlisted fields are kept for the JSON output. */
export const hostStatusSchema = z.looseObject({
	host: z.string(),
	availabilityZone: z.string(),
	ready: z.boolean(),
	configurationVersion: z.number(),
	unreadableVersion: z.number().optional(),
	leaving: z.boolean(),
	requestsInProgress: z.number(),
	knownHosts: z.number(),
});

/** Status of one router. */
export type HostStatus = z.output<typeof hostStatusSchema>;

/**
 * Queries the status of every host.
 *
 * @param client Client of the operator ports.
 * @param hosts Hosts to query.
 */
export async function readStatus(client: OperatorClient, hosts: OperatorHost[]): Promise<HostResponses<HostStatus>> {
	return client.requestAll(hosts, {path: '/status', schema: hostStatusSchema});
}

/**
 * Formats the statuses as a table.
 *
 * @param status Responses of {@linkcode readStatus}.
 */
export function formatStatus({answers, failures}: HostResponses<HostStatus>): string {
	const rows = answers.map(({host, answer}) => [
		host, answer.availabilityZone, stateOf(answer), answer.configurationVersion, answer.requestsInProgress, answer.knownHosts,
	]);
	const unanswered = failures.map(({host, message}) => [host, '', message, '', '', '']);
	return formatTextTable(['host', 'zone', 'state', 'configuration', 'requests', 'known hosts'], [...rows, ...unanswered]);
}

function stateOf(status: HostStatus): string {
	if (status.leaving) {
		return 'leaving';
	}

	if (status.ready) {
		return 'ready';
	}

	return status.unreadableVersion === undefined ? 'not ready: no configuration' : `not ready: cannot read version ${status.unreadableVersion}`;
}
