/**
 * Serves callers by a gateway's own components within the process of a test, so that single components can be replaced.
 *
 * @module
 */
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {readClock} from '../clocks/mod.ts';
import {createGatewayParts, type GatewayParts} from '../gateway/gateway-parts.ts';
import {serveRequest} from '../gateway/serve-request.ts';
import {decodeConfiguration, decodeEndpoint} from '../platform/mod.ts';
import {gatewaySettingsSchema} from '../settings/gateway-settings.ts';
import {createLogger} from '../telemetry/logger.ts';
import {routeHost} from './gateway-fleet.ts';
import {takeLoopbackAddress} from './loopback-address.ts';
import {configurationRow} from './stand-ins/configuration-row.ts';
import {RawWorker, type RawWorkerOptions} from './stand-ins/raw-worker.ts';
import {type WorkerStandInOptions} from './stand-ins/worker-options.ts';
import {WorkerStandIn} from './stand-ins/worker-stand-in.ts';

/** Time after which requests of {@linkcode InProcessGateway} must have their final answer, in milliseconds: the timeout of each route. */
export const routeTimeoutMilliseconds = 400;

/** Port at which callers are served; workers listen on those after it. */
const callersPort = 8000;

const routes = [
	{kind: 'stream', service: 'scribe', resumable: true},
	{kind: 'idempotent', service: 'desk'},
	{kind: 'non_idempotent', service: 'desk'},
].map(({kind, ...route}) => ({
	...route, name: kind, host: routeHost, prefix: `/${kind}`, kind, timeoutMs: routeTimeoutMilliseconds, targetLatencyMs: 100, maxAttempts: 3, gapAimMs: 100, allowAnonymous: true,
}));

/** Components of a gateway that a test replaces. */
export type ReplacedParts = Partial<{[Part in keyof GatewayParts]: any}>;

/**
 * One gateway without a store or other gateways, and its workers.
 *
 * @example
 * ```ts
 * await using gateway = await InProcessGateway.start({retryBudgetOf: () => budget});
 * await gateway.startWorker({id: 'desk-1', service: 'desk'});
 * await sendCall(gateway.address, {path: '/idempotent'});
 * ```
 */
export class InProcessGateway implements AsyncDisposable {
	/** Starts a gateway with some of its components replaced. */
	static async start(replaced: ReplacedParts = {}): Promise<InProcessGateway> {
		const host = takeLoopbackAddress();
		const address = `${host}:${callersPort}`;
		const settings = gatewaySettingsSchema.parse({
			hostName: 'gateway-1',
			availabilityZone: 'zone-a',
			region: 'home',
			listen: {
				callers: address, readiness: address, entries: address, peers: address, metrics: address,
			},
			store: `${host}:7000`,
		});
		const parts: GatewayParts = {...createGatewayParts(settings, createLogger('gateway', {level: 'silent'})), ...replaced};
		const configuration = decodeConfiguration(new TextEncoder().encode(JSON.stringify(configurationRow({
			version: 1, routes, keys: {}, plainServices: ['desk'], connections: 100,
		}))));
		parts.configuration.update(configuration._unsafeUnwrap());
		parts.configuration.confirm(readClock());
		const gateway = new InProcessGateway(host, parts);
		gateway.#server.listen(callersPort, host);
		await once(gateway.#server, 'listening');
		return gateway;
	}

	readonly parts: GatewayParts;
	/** Address at which it serves callers. */
	readonly address: string;
	readonly #host: string;
	readonly #server: Server;
	readonly #workers: Array<RawWorker | WorkerStandIn> = [];

	private constructor(host: string, parts: GatewayParts) {
		this.#host = host;
		this.address = `${host}:${callersPort}`;
		this.parts = parts;
		this.#server = createServer((request, response) => {
			void serveRequest(request, response, parts);
		});
	}

	/** Starts a worker that the gateway knows. */
	async startWorker(options: Omit<WorkerStandInOptions, 'listen'>): Promise<WorkerStandIn> {
		return this.#register(options.id, await WorkerStandIn.start({...options, listen: this.#nextAddress}));
	}

	/** Starts a worker on a bare socket that the gateway knows. */
	async startRawWorker(options: Omit<RawWorkerOptions, 'listen'>): Promise<RawWorker> {
		return this.#register(options.id, await RawWorker.start({...options, listen: this.#nextAddress}));
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const worker of this.#workers) {
			worker.crash();
		}

		this.#server.close();
		this.#server.closeAllConnections();
	}

	get #nextAddress(): string {
		return `${this.#host}:${callersPort + 1 + this.#workers.length}`;
	}

	#register<Worker extends RawWorker | WorkerStandIn>(id: string, worker: Worker): Worker {
		this.#workers.push(worker);
		const entry = decodeEndpoint(id, new TextEncoder().encode(JSON.stringify(worker.entry())))._unsafeUnwrap();
		this.parts.endpoints.apply([{id, entry, revision: this.#workers.length}], performance.now());
		return worker;
	}
}
