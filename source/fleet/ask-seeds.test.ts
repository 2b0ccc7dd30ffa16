import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type ClockReading} from '../beliefs/mod.ts';
import {createLogger} from '../telemetry/logger.ts';
import {takeLoopbackAddress} from '../testing/loopback-address.ts';
import {
	MemberTable, askSeeds, packConfiguration, startExchangeServer, unpackConfiguration, type ExchangeMessage, type Member, type SharedKnowledge,
} from './mod.ts';

const address = takeLoopbackAddress();

const member = (name: string): Member => ({
	name, availabilityZone: 'zone-a', region: 'home', callers: `${name}:1`, peers: `${name}:2`, incarnation: 1, heartbeat: 1, ready: true,
});

const readClock = (): ClockReading => ({steady: performance.now(), wall: Date.now()});

const logger = createLogger('test', {level: 'silent', fields: {}, write: () => undefined});

const noNews = {
	endpoints: [], endpointRevision: 0, suspects: [], suspectRevision: 0,
};

function knowledgeOf(learnt: string[]): SharedKnowledge {
	return {
		known: () => ({configurationVersion: 0, endpointRevision: 0, suspectRevision: 0}),
		age: () => Number.POSITIVE_INFINITY,
		newsFor: () => noNews,
		learn({configuration}) {
			learnt.push(String(unpackConfiguration(configuration ?? '').unwrapOr(undefined)?.version));
		},
	};
}

const configuration = {
	version: 7, routes: [], services: [], workspaces: [], limits: {
		headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1,
	},
};

test('a gateway waits for a seed that answers but has learnt nothing yet, and asks it rarely', async context => {
	const knownFrom = performance.now() + 2600;
	let questions = 0;
	const stop = await startExchangeServer({
		listen: `${address}:7501`,
		answer(): ExchangeMessage {
			questions += 1;
			const news = {
				...noNews, endpointRevision: 1, configuration: packConfiguration(configuration), configurationAgeMilliseconds: 1, endpointAgeMilliseconds: 1,
			};
			return {members: [member('seed')], news: performance.now() > knownFrom ? news : noNews};
		},
	});
	context.after(stop);
	const learnt: string[] = [];
	const members = new MemberTable({self: member('self')});
	const answer = await askSeeds({
		seeds: [`${address}:7501`], members, knowledge: knowledgeOf(learnt), logger, readClock, random: () => 0, onNews: () => undefined,
	}, new AbortController().signal);
	assert.equal(answer, true);
	assert.deepEqual(learnt, ['7']);
	assert.ok(questions <= 10, `${questions} questions`);
});

test('a gateway whose seeds do not answer gives up on them soon', async () => {
	const startedAt = performance.now();
	const answer = await askSeeds({
		seeds: [`${address}:7502`], members: new MemberTable({self: member('self')}), knowledge: knowledgeOf([]), logger, readClock, random: () => 0, onNews: () => undefined,
	}, new AbortController().signal);
	assert.equal(answer, false);
	assert.ok(performance.now() - startedAt < 5000);
});
