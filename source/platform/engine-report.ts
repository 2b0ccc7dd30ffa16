/**
 * Reads what an engine says of its load.
 *
 * @module
 */
import {type Agent} from 'node:http';
import {
	err, ok, type Result,
} from 'neverthrow';
import * as z from 'zod';
import {type EngineReport} from '../balancing/mod.ts';
import {httpCall, parseJson} from './http-call.ts';
import {saysLeaving} from './request-terms.ts';

const runSchema = z.tuple([z.string(), z.number(), z.number(), z.number()]);

const reportSchema = z.object({
	waiting: z.number(),
	running: z.number(),
	/** Tokens of memory that cannot be given up for another request. */
	kvUsed: z.number(),
	kvTotal: z.number(),
	/** Tokens of memory that copies and reservations take. */
	held: z.number().nullish(),
	/** Tokens of the first waiting request. */
	next: z.number().nullish(),
	born: z.number().nullish(),
	state: z.string().nullish(),
	runs: z.array(z.unknown()).nullish(),
});

/** Longest report that is read, in bytes: a line for each of some thousand runs. */
const reportBytes = 262_144;

/** Options of {@linkcode readEngineReport}. */
export type ReadEngineReportOptions = {
	agent: Agent;
	/** IP number and port of the engine. */
	address: string;
	/** Deadline, in milliseconds. */
	timeoutMilliseconds: number;
};

/**
 * Asks an engine for its load.
 *
 * @param options Where and by when.
 * @returns The report, or why there is none.
 */
export async function readEngineReport({agent, address, timeoutMilliseconds}: ReadEngineReportOptions): Promise<Result<EngineReport, string>> {
	const answer = await httpCall({
		agent, address, path: '/api/report', timeoutMilliseconds, largestBytes: reportBytes,
	});
	if (answer.isErr()) {
		return err(answer.error.message);
	}

	const checked = reportSchema.safeParse(parseJson(answer.value.body));
	if (answer.value.status !== 200 || !checked.success) {
		return err(`the report cannot be read (status ${answer.value.status})`);
	}

	const {waiting, running, kvUsed, kvTotal, held, next, born, state, runs} = checked.data;
	return ok({
		waiting,
		running,
		usedTokens: kvUsed,
		memoryTokens: kvTotal,
		heldTokens: held ?? 0,
		nextTokens: next ?? 0,
		startedAt: born ?? 0,
		reportsLeaving: state === 'draining',
		saysLeaving: saysLeaving(answer.value.headers),
		runs: (runs ?? []).flatMap(run => decodeRun(run)),
	});
}

function decodeRun(content: unknown): EngineReport['runs'] {
	const checked = runSchema.safeParse(content);
	return checked.success ? [{attempt: checked.data[0], tokens: checked.data[1], events: checked.data[2]}] : [];
}
