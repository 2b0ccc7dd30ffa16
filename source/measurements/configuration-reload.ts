/**
 * Measures what one change of the configuration costs a router at the size of two years from now: bytes, requests and
 * time, with the workspaces in one object and split into several. Prints JSON.
 *
 * @module
 */
import {randomUUID} from 'node:crypto';
import {createServer, connect} from 'node:net';
import process from 'node:process';
import {
	ActiveConfiguration, VersionLoader, publish, readHead, serviceFileSchema, workspacesFileSchema, type CollectedFile, type Workspace,
} from '../configuration/mod.ts';
import {PlatformClient} from '../table-service/mod.ts';
import {Fleet} from '../testing/fleet.ts';

const workspaceCount = 2700;
const serviceCount = 30;
const changes = 40;

type Cost = {bytes: number; requests: number; wallMilliseconds: number; processorMilliseconds: number};

const results = [];
for (const workspacesPerPart of [workspaceCount, 256, 64, 16]) {
	results.push(await measure(workspacesPerPart));
}

console.log(JSON.stringify({
	workspaceCount, serviceCount, changes, results,
}, undefined, '\t'));

async function measure(workspacesPerPart: number) {
	await using fleet = await Fleet.create();
	const wire = await countBytes(fleet.process('platform').address, fleet.allocate());
	const publisher = new PlatformClient({url: `http://${fleet.process('platform').address}`});
	let requests = 0;
	const platform = new PlatformClient({
		url: `http://${wire.address}`,
		observe() {
			requests += 1;
		},
	});
	const workspaces = createWorkspaces();
	const services = createServices();
	const loader = new VersionLoader(platform);
	const inForce = new ActiveConfiguration();

	/** Runs a step and returns what it cost. */
	const cost = async (step: () => Promise<void>): Promise<Cost> => {
		const before = {
			bytes: wire.count(), requests, processor: process.cpuUsage(), wall: performance.now(),
		};
		await step();
		const {user, system} = process.cpuUsage(before.processor);
		return {
			bytes: wire.count() - before.bytes,
			requests: requests - before.requests,
			wallMilliseconds: performance.now() - before.wall,
			processorMilliseconds: (user + system) / 1000,
		};
	};

	const follow = async () => {
		const stored = await readHead(platform);
		const {head} = stored._unsafeUnwrap();
		if (head.version > inForce.version) {
			const loaded = await loader.load(head);
			inForce.applyIfNewer(loaded._unsafeUnwrap());
		}
	};

	const publishAll = async () => publish({
		platform: publisher, files: [...services, workspacesFile(workspaces)], createPublicationId: () => randomUUID(), clock: () => performance.now(), split: {workspacesPerPart},
	});

	await publishAll();
	const whole = await cost(follow);
	const changeCosts: Cost[] = [];
	for (let change = 0; change < changes; change++) {
		workspaces[(change * 67) % workspaceCount]!.weight += 1;
		await publishAll();
		changeCosts.push(await cost(follow));
	}

	const idleCosts: Cost[] = [];
	for (let look = 0; look < changes; look++) {
		idleCosts.push(await cost(follow));
	}

	await Promise.all([platform.close(), publisher.close()]);
	wire.close();
	return {
		workspacesPerPart, firstLoad: mean([whole]), oneChange: mean(changeCosts), noChange: mean(idleCosts),
	};
}

function createWorkspaces(): Workspace[] {
	const {workspaces} = workspacesFileSchema.parse({
		workspaces: Array.from({length: workspaceCount}, (_, number) => ({
			workspace: `workspace-${number}`, keyDigests: [number.toString(16).padStart(64, '0')],
		})),
	});
	return workspaces;
}

function createServices(): CollectedFile[] {
	return Array.from({length: serviceCount}, (_, number) => ({
		kind: 'service',
		name: `service/service-${number}`,
		file: `service-${number}.service.jsonc`,
		service: serviceFileSchema.parse({service: `service-${number}`, kind: 'model', model: {name: 'model', version: 'v1'}}),
	}));
}

function workspacesFile(workspaces: Workspace[]): CollectedFile {
	return {
		kind: 'workspaces', name: 'workspaces/all', file: 'all.workspaces.jsonc', workspaces: structuredClone(workspaces), text: '',
	};
}

function mean(costs: Cost[]): Cost {
	const average = (pick: (cost: Cost) => number) => Math.round((costs.reduce((sum, cost) => sum + pick(cost), 0) / costs.length) * 100) / 100;
	return {
		bytes: average(({bytes}) => bytes),
		requests: average(({requests}) => requests),
		wallMilliseconds: average(({wallMilliseconds}) => wallMilliseconds),
		processorMilliseconds: average(({processorMilliseconds}) => processorMilliseconds),
	};
}

/** Passes connections on to an address and counts the bytes of both directions. */
async function countBytes(target: string, listen: string) {
	let bytes = 0;
	const add = (chunk: Uint8Array) => {
		bytes += chunk.length;
	};

	const {hostname, port} = new URL(`http://${target}`);
	const server = createServer(socket => {
		const upstream = connect(Number(port), hostname);
		socket.on('data', add).pipe(upstream);
		upstream.on('data', add).pipe(socket);
	});
	const own = new URL(`http://${listen}`);
	await new Promise<void>(resolve => {
		server.listen(Number(own.port), own.hostname, resolve);
	});
	return {
		address: listen,
		count: () => bytes,
		close() {
			server.close();
		},
	};
}
