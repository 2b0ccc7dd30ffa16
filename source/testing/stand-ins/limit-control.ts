/**
 * Limits that stand-ins of the product's own endpoints name, and what reaches these.
 *
 * @module
 */
import {limitHeader} from '../../endpoints/mod.ts';
import {answer, type Handlers} from './control.ts';

/** Adds to a table of handlers: each answer names the limit that was set last, and each request is noted. Requests that tests send for themselves are left out. */
export function withLimitControl(handlers: Handlers, counted: readonly string[]): Handlers {
	const arrivals: number[] = [];
	let limit: string | undefined;
	const limited = counted.map((name): [string, Handlers[string]] => [name, async exchange => {
		arrivals.push(Date.now());
		if (limit !== undefined) {
			exchange.response.setHeader(limitHeader, limit);
		}

		await handlers[name]!(exchange);
	}]);
	return {
		'GET /control/arrivals'({response}) {
			answer(response, 200, arrivals);
		},
		'POST /control/limit'({body, response}) {
			({limit} = body as {limit?: string});
			answer(response, 200, {});
		},
		...handlers,
		...Object.fromEntries(limited),
	};
}
