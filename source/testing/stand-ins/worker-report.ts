/**
 * The report of a worker stand-in on its load.
 *
 * @module
 */
import {type ServerResponse} from 'node:http';

/** Tokens of each prompt. */
const promptTokens = 8000;

/** Tokens that a worker holds at the most. */
const memoryTokens = 88_000;

/** What a report tells. */
export type WorkerReport = {
	/** Events that each run has made, by attempt. */
	runs: ReadonlyMap<string, number>;
	/** Unix time of the worker's start, in milliseconds. */
	startedAt: number;
	isLeaving: boolean;
};

/**
 * Answers a question for a worker's load.
 *
 * @param response The answer.
 * @param report What it tells.
 */
export function sendReport(response: ServerResponse, {runs, startedAt, isLeaving}: WorkerReport): void {
	response.writeHead(200, {'content-type': 'application/json'});
	response.end(JSON.stringify({
		stage: 'prefill_decode',
		waiting: 0,
		running: runs.size,
		kvUsed: promptTokens * runs.size,
		kvTotal: memoryTokens,
		held: 0,
		next: 0,
		born: startedAt,
		state: isLeaving ? 'draining' : 'ready',
		runs: [...runs].map(([attempt, events]) => [attempt, promptTokens + events, events, 5]),
	}));
}
