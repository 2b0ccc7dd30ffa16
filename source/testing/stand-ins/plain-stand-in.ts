/**
 * Stand-in for a plain service: it counts its runs by idempotency key.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';
import * as z from 'zod';
import {answer, serveJson} from './control.ts';
import {withLimitControl} from './limit-control.ts';

/** Options of the plain service stand-in. */
export const plainOptionsSchema = z.object({
	listen: z.string(),
	/** Time from a call's arrival until it takes effect. */
	workMilliseconds: z.number().default(5),
	/** Time from a call's effect until its answer. */
	answerMilliseconds: z.number().default(0),
});

/**
 * Starts a plain service stand-in.
 *
 * @param options Address and speed.
 */
export async function startPlainStandIn(options: z.output<typeof plainOptionsSchema>): Promise<void> {
	const runs: Record<string, number> = {};
	const settings = {workMilliseconds: options.workMilliseconds, answerMilliseconds: options.answerMilliseconds};
	await serveJson(options.listen, withLimitControl({
		'GET /control/runs'({response}) {
			answer(response, 200, runs);
		},
		'POST /control/speed'({body, response}) {
			Object.assign(settings, body);
			answer(response, 200, settings);
		},
		async 'GET *'({url, response}) {
			await delay(settings.workMilliseconds);
			runs[url.pathname] = (runs[url.pathname] ?? 0) + 1;
			answer(response, 200, {path: url.pathname, served: runs[url.pathname]});
		},
		async 'POST *'({request, response, body}) {
			const key = String(request.headers['idempotency-key']);
			await delay(settings.workMilliseconds);
			runs[key] = (runs[key] ?? 0) + 1;
			await delay(settings.answerMilliseconds);
			answer(response, 201, {key, run: runs[key], body});
		},
	}, ['GET *', 'POST *']));
}
