/**
 * The state of every router.
 *
 * @module
 */
import * as z from 'zod';
import {
	type HostAnswers, type OperatedHost, type OperatorClient,
} from './operator-client.ts';
import {textTable} from './text-table.ts';

/** Answer of `GET /status` on an operator port; fields that are not listed here are kept for programs. */
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

/** State of one router. */
export type HostStatus = z.output<typeof hostStatusSchema>;

/**
 * Asks every host for its state.
 *
 * @param client Client of the operator ports.
 * @param hosts Hosts to ask.
 */
export async function readStatus(client: OperatorClient, hosts: OperatedHost[]): Promise<HostAnswers<HostStatus>> {
	return client.askAll(hosts, {path: '/status', schema: hostStatusSchema});
}

/**
 * Writes the states as a table.
 *
 * @param status Answers of {@linkcode readStatus}.
 */
export function formatStatus({answers, failures}: HostAnswers<HostStatus>): string {
	const rows = answers.map(({host, answer}) => [
		host, answer.availabilityZone, stateOf(answer), answer.configurationVersion, answer.requestsInProgress, answer.knownHosts,
	]);
	const unanswered = failures.map(({host, message}) => [host, '', message, '', '', '']);
	return textTable(['host', 'zone', 'state', 'configuration', 'requests', 'known hosts'], [...rows, ...unanswered]);
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
