/**
 * Stand-in for the platform: transactional table, object store, paced weight store and lagging host list.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';
import * as z from 'zod';
import {
	listSchema, readSchema, transactSchema, writtenHostListSchema, type Condition, type Operation, type Row,
} from '../../table-service/mod.ts';
import {answer, serveJson, type Exchange} from './control.ts';

/** Options of the platform stand-in. */
export const platformOptionsSchema = z.object({
	listen: z.string(),
	/** Time until a change of the host list shows. */
	hostListLagMilliseconds: z.number().default(0),
	/** Pace of the weight store. */
	weightBytesPerSecond: z.number().default(10_000_000),
});

/** A fault of the platform; `lose_answers` lets writes take effect and then drops the connection. */
export const platformFaultSchema = z.object({
	mode: z.enum(['up', 'down', 'slow', 'lose_answers', 'silent']),
	delayMilliseconds: z.number().default(0),
	/** Number of requests that the fault applies to; afterwards the platform is up. Default without end. */
	requests: z.number().int().positive().optional(),
	/** Paths that the fault applies to. Default all. */
	paths: z.array(z.string()).optional(),
});

type Fault = z.output<typeof platformFaultSchema>;

/**
 * Starts the platform stand-in.
 *
 * @param options Address and paces.
 */
export async function startPlatformStandIn(options: z.output<typeof platformOptionsSchema>): Promise<void> {
	const tables = new Map<string, Map<string, Row>>();
	const objects = new Map<string, string>();
	const counts: Record<string, number> = {};
	let hosts: unknown[] = [];
	let hostsRevision = 0;
	let fault: Fault = {mode: 'up', delayMilliseconds: 0};

	/** Runs a request under the fault in force. */
	const withFault = (handle: (exchange: Exchange) => {status: number; body: unknown}) => async (exchange: Exchange) => {
		const {pathname} = exchange.url;
		counts[pathname] = (counts[pathname] ?? 0) + 1;
		const current = takeFault(pathname);
		if (current.mode === 'down') {
			answer(exchange.response, 503, {error: 'down'});
			return;
		}

		if (current.mode === 'silent') {
			return;
		}

		if (current.mode === 'slow') {
			await delay(current.delayMilliseconds);
		}

		const {status, body} = handle(exchange);
		if (current.mode === 'lose_answers') {
			exchange.response.destroy();
			return;
		}

		if (typeof body === 'string') {
			exchange.response.writeHead(status);
			exchange.response.end(body);
			return;
		}

		answer(exchange.response, status, body);
	};

	const takeFault = (pathname: string): Fault => {
		if (fault.paths && !fault.paths.some(prefix => pathname.startsWith(prefix))) {
			return {mode: 'up', delayMilliseconds: 0};
		}

		const current = fault;
		if (fault.requests !== undefined) {
			fault = fault.requests > 1 ? {...fault, requests: fault.requests - 1} : {mode: 'up', delayMilliseconds: 0};
		}

		return current;
	};

	await serveJson(options.listen, {
		'POST /table/transact': withFault(({body}) => transact(tables, transactSchema.parse(body).operations)),
		'POST /table/read': withFault(({body}) => ({
			status: 200, body: {rows: readSchema.parse(body).keys.flatMap(({table, key}) => tables.get(table)?.get(key) ?? [])},
		})),
		'POST /table/list': withFault(({body}) => ({status: 200, body: {rows: list(tables, listSchema.parse(body))}})),
		'PUT /objects/*': withFault(({url, body}) => {
			objects.set(url.pathname, typeof body === 'string' ? body : JSON.stringify(body));
			return {status: 200, body: {}};
		}),
		'GET /objects/*': withFault(({url}) => {
			const content = objects.get(url.pathname);
			return content === undefined ? {status: 404, body: {}} : {status: 200, body: content};
		}),
		'GET /hosts': withFault(({request, response}) => {
			const tag = `"${hostsRevision}"`;
			response.setHeader('etag', tag);
			return request.headers['if-none-match'] === tag ? {status: 304, body: ''} : {status: 200, body: {hosts}};
		}),
		async 'GET /weights/*'({url, response}) {
			const bytes = Number(url.searchParams.get('bytes') ?? '1000000');
			await delay((bytes / options.weightBytesPerSecond) * 1000);
			answer(response, 200, {bytes});
		},
		'POST /control/fault'({body, response}) {
			fault = platformFaultSchema.parse(body);
			answer(response, 200, {});
		},
		async 'POST /control/hosts'({body, response}) {
			answer(response, 200, {});
			await delay(options.hostListLagMilliseconds);
			({hosts} = writtenHostListSchema.parse(body));
			hostsRevision += 1;
		},
		'GET /control/counts'({response}) {
			answer(response, 200, counts);
		},
		'GET /control/rows'({url, response}) {
			const rows = tables.get(url.searchParams.get('table') ?? '') ?? new Map<string, Row>();
			answer(response, 200, {rows: [...rows.values()]});
		},
	});
}

type Tables = Map<string, Map<string, Row>>;

/** Applies all operations, or none when a condition does not hold. */
function transact(tables: Tables, operations: Operation[]): {status: number; body: unknown} {
	const conflict = operations.findIndex(({table, key, condition}) => !holds(condition, tables.get(table)?.get(key)));
	if (conflict !== -1) {
		return {status: 409, body: {conflict}};
	}

	for (const operation of operations) {
		const {table, key} = operation;
		const rows = tables.get(table) ?? new Map<string, Row>();
		tables.set(table, rows);
		if (operation.kind === 'put') {
			rows.set(key, {
				table, key, value: operation.value, revision: (rows.get(key)?.revision ?? 0) + 1,
			});
		} else if (operation.kind === 'delete') {
			rows.delete(key);
		}
	}

	return {status: 200, body: {}};
}

function holds(condition: Condition, row: Row | undefined): boolean {
	switch (condition.kind) {
		case 'always': {
			return true;
		}

		case 'absent': {
			return row === undefined;
		}

		case 'revision': {
			return row?.revision === condition.revision;
		}
	}
}

function list(tables: Tables, request: z.output<typeof listSchema>): Row[] {
	const rows = [...tables.get(request.table)?.values() ?? []];
	return rows
		.filter(({key}) => key.startsWith(request.prefix) && (request.after === undefined || key > request.after))
		.toSorted((left, right) => left.key < right.key ? -1 : 1)
		.slice(0, request.limit);
}
