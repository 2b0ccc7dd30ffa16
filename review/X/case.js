/**
 * One of seven workers fails part of its requests while it works on them, with a status that, of the system's own, would promise that they have not run.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {RawWorker, rawAnswer} from '../../dist/testing/stand-ins/raw-worker.js';
import {call} from '../stand-ins-2/caller.js';
import {runCase} from '../stand-ins-2/deployment.js';

const workers = 7;
/** Of 5 requests that the failing worker runs, 2 fail. */
const failing = {each: 5, fail: 2};
const deposits = 300;
const workMilliseconds = 20;
/** Answers that promise that a request has not run and never will. */
const promises = new Set([408, 421, 429, 503]);

/** The worker's failure in the middle of a run: it has the worker's name on it, and nothing that says that the request was not executed. */
function failure(attempt) {
	const body = '{"error":"the ledger was not reachable after the charge"}';
	return `HTTP/1.1 503 Service Unavailable\r\nX-Azuretack-Attempt-Id: ${attempt}\r\nX-Azuretack-Server-Stamp: stamp\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

/** A caller as the pages describe it: it sends such a request again, on a new connection, only after a promise, and once. */
async function deposit(address, order) {
	const request = {path: `/deposits/${order}`, method: 'POST', body: 'once'};
	const first = await call(address, request);
	if (!promises.has(first.status)) {
		return {order, attempts: [first]};
	}

	await delay(1000 * Number(first.headers['retry-after'] ?? '0.05'));
	return {order, attempts: [first, await call(address, request)]};
}

await runCase(import.meta.dirname, async ({record, deployment, hasTrouble}) => {
	const runs = new Map();
	for (let number = 1; number <= workers; number += 1) {
		let count = 0;
		const listen = deployment.allocate();
		await RawWorker.start({
			id: `desk-${number}`,
			service: 'desk',
			listen,
			async answer({attempt, socket}) {
				count += 1;
				const fails = hasTrouble && number === 1 && count % failing.each < failing.fail;
				runs.set(attempt, `desk-${number}`);
				await delay(workMilliseconds);
				socket.write(fails ? failure(attempt) : rawAnswer(attempt));
			},
		});
		deployment.register(`desk-${number}`, {service: 'desk', address: listen, startedAt: 1});
	}

	const gateway = await deployment.startGateway('front-dublin-a-1');
	const played = [];
	for (let order = 1; order <= deposits; order += 1) {
		played.push(deposit(gateway.callers, order));
		await delay(30);
	}

	const all = await Promise.all(played);
	for (const {order, attempts} of all) {
		record.write(`deposit ${order}: ${attempts.map(({attempt, status}) => `${attempt} answered ${status}, ran ${runs.has(attempt) ? `at ${runs.get(attempt)}` : 'nowhere'}`).join('; ')}`);
	}

	const refused = all.flatMap(({attempts}) => attempts).filter(({attempt, status}) => promises.has(status) && runs.has(attempt));
	const doubled = all.filter(({attempts}) => attempts.filter(({attempt}) => runs.has(attempt)).length > 1);
	record.write(`deposits ${deposits}; attempts that were answered with a promise and have run: ${refused.length}; deposits that ran twice: ${doubled.length}`);
	return refused.length > 0 ? `${refused.length} requests that have run were answered with a promise that they have not; ${doubled.length} deposits ran twice` : undefined;
});
