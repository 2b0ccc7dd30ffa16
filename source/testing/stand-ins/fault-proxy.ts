/**
 * A TCP proxy that injects faults: cut, one-way cut, silence and delay.
 *
 * @module
 */
import * as z from 'zod';
import {answer, serveJson} from './control.ts';
import {Link, linkFaultSchema} from './link.ts';

/** Options of the proxy. */
export const proxyOptionsSchema = z.object({
	/** Address of its control port. */
	listen: z.string(),
	/** Links: where each one listens and what it leads to. */
	links: z.array(z.object({name: z.string(), listen: z.string(), target: z.string()})),
});

/**
 * Starts the proxy.
 *
 * @param options Control address and links.
 */
export async function startFaultProxy(options: z.output<typeof proxyOptionsSchema>): Promise<void> {
	const links = new Map(options.links.map(link => [link.name, new Link(link.listen, link.target)]));
	await Promise.all([...links.values()].map(async link => link.start()));
	await serveJson(options.listen, {
		'POST /control/fault'({body, response}) {
			const fault = linkFaultSchema.parse(body);
			links.get(fault.link)?.apply(fault);
			answer(response, 200, {});
		},
		'GET /control/connections'({response}) {
			answer(response, 200, Object.fromEntries([...links].map(([name, link]) => [name, {open: link.open, accepted: link.accepted}])));
		},
	});
}
