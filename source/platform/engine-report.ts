/**
 * Queries an engine for its load report.
 *
 * @module
 */
import {type Agent} from 'node:http';
import {
	err, ok, type Result,
} from 'neverthrow';
import * as z from 'zod';
import {type EngineReport} from '../balancing/mod.ts';
import {httpCall, parseJson, type HttpFailure} from './http-call.ts';
import {announcesLeaving, decodeLimit} from './request-headers.ts';

const runSchema = z.tuple([z.string(), z.number(), z.number(), z.number()]);

const reportSchema = z.object({
	waiting: z.number(),
	running: z.number(),
	/** Tokens of memory that cannot be evicted for another request. */
	kvUsed: z.number(),
	kvTotal: z.number(),
	/** Tokens of memory that copies and reservations occupy. */
	held: z.number().nullish(),
	/** Tokens of the first waiting request. */
	next: z.number().nullish(),
	born: z.number().nullish(),
	state: z.string().nullish(),
	runs: z.array(z.unknown()).nullish(),
});

/** Largest report that is accepted, in bytes; holds one entry for each of several thousand runs. */
const maximumReportBytes = 262_144;

/** Reason why an engine gave no report. */
export type EngineQueryFailure = Pick<HttpFailure, 'connected' | 'reused' | 'message'>;

/** Options of {@linkcode queryEngineReport}. */
export type QueryEngineReportOptions = {
	agent: Agent;
	/** IP address and port of the engine. */
	address: string;
	/** Deadline, in milliseconds. */
	timeoutMilliseconds: number;
};

/**
 * Queries an engine for its load.
 *
 * @param options Address of the engine and deadline.
 * @returns The report, or the reason for the failure.
 */
export async function queryEngineReport({agent, address, timeoutMilliseconds}: QueryEngineReportOptions): Promise<Result<EngineReport, EngineQueryFailure>> {
	const response = await httpCall({
		agent, address, path: '/api/report', timeoutMilliseconds, maximumBytes: maximumReportBytes,
	});
	if (response.isErr()) {
		return err(response.error);
	}

	const parsed = reportSchema.safeParse(parseJson(response.value.body));
	if (response.value.status !== 200 || !parsed.success) {
		return err({connected: true, reused: false, message: `invalid report (status ${response.value.status})`});
	}

	const {waiting, running, kvUsed, kvTotal, held, next, born, state, runs} = parsed.data;
	return ok({
		waiting,
		running,
		usedTokens: kvUsed,
		memoryTokens: kvTotal,
		heldTokens: held ?? 0,
		nextTokens: next ?? 0,
		startedAt: born ?? 0,
		reportsLeaving: state === 'draining',
		saysLeaving: announcesLeaving(response.value.headers),
		limit: decodeLimit(response.value.headers),
		runs: (runs ?? []).flatMap(run => decodeRun(run)),
	});
}

function decodeRun(content: unknown): EngineReport['runs'] {
	const parsed = runSchema.safeParse(content);
	return parsed.success ? [{attempt: parsed.data[0], tokens: parsed.data[1], events: parsed.data[2]}] : [];
}
