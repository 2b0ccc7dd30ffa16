/**
 * Two of four engines answer every 50th of their generations with bytes that are no answer: a switch to a protocol that nobody asked for.
 */
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {WorkerStandIn} from '../../dist/testing/stand-ins/worker-stand-in.js';
import {call, generationHeaders} from '../stand-ins-2/caller.js';
import {routes, runCase} from '../stand-ins-2/deployment.js';
import {startSpoilingProxy} from '../stand-ins-2/spoiling-proxy.js';

const timeoutMs = 10_000;
const requests = 800;
const intervalMilliseconds = 30;
const spoiledOfEach = 50;
const noAnswer = 'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n';

await runCase(path.join(import.meta.dirname, 'record.txt'), async ({record, deployment, hasTrouble}) => {
	deployment.configure({version: 2, routes: [{...routes.draft, timeoutMs}, routes.deposit, routes.status]});
	const spoiled = new Set();
	const runs = [];
	for (const number of [1, 2, 3, 4]) {
		const [listen, advertised] = [deployment.allocate(), deployment.allocate()];
		const worker = await WorkerStandIn.start({
			id: `scribe-${number}`, service: 'scribe', listen, advertised, events: 25, eventMilliseconds: 20, promptMilliseconds: 100, runs,
		});
		let generations = 0;
		await startSpoilingProxy({
			listen: advertised,
			target: listen,
			spoil(head) {
				const attempt = /^x-azuretack-attempt-id: *(?<attempt>\S+)/miv.exec(head)?.groups.attempt;
				generations += attempt === undefined ? 0 : 1;
				if (!hasTrouble || number > 2 || attempt === undefined || generations % spoiledOfEach !== 0) {
					return undefined;
				}

				spoiled.add(attempt);
				record.write(`scribe-${number}: the answer to ${attempt} is spoiled`);
				return noAnswer;
			},
		});
		deployment.register(`scribe-${number}`, {service: 'scribe', address: advertised, startedAt: worker.startedAt});
	}

	const gateway = await deployment.startGateway('front-dublin-a-1');
	const answers = [];
	for (let index = 0; index < requests; index += 1) {
		answers.push(call(gateway.callers, {
			path: `/drafts/${index}`, method: 'POST', body: 'notes', deadlineMilliseconds: 25_001, headers: generationHeaders([`a${index}:200`, `b${index}:8000`]), waitMilliseconds: timeoutMs + 2000,
		}));
		await delay(intervalMilliseconds);
	}

	const all = await Promise.all(answers);
	const unanswered = all.filter(({milliseconds}) => milliseconds >= timeoutMs);
	const never = unanswered.filter(({milliseconds}) => milliseconds >= timeoutMs + 500);
	for (const {attempt, status, milliseconds, isWhole} of all) {
		const times = runs.filter(run => run.attempt === attempt).length;
		const note = spoiled.has(attempt) ? ', one of its answers was spoiled' : '';
		record.write(`${attempt}: answered ${status ?? 'never'}, ${isWhole ? 'whole' : 'not whole'}, after ${Math.round(milliseconds)} ms${note}; ran ${times} times`);
	}

	record.write(`requests ${all.length}, spoiled ${spoiled.size}, without an answer at their route's timeoutMs ${unanswered.length}, of these without one half a second later ${never.length}`);
	return never.length * 2 > unanswered.length ? `${never.length} of ${unanswered.length} requests that were unanswered at timeoutMs had no answer half a second later` : undefined;
});
