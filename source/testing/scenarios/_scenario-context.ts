/**
 * What the words of the scenario language act on.
 *
 * @module
 */
import {type Service} from '../../configuration/mod.ts';
import {type Fleet, type ProgramEnd} from '../fleet.ts';
import {type ProcessReference} from './_process-reference.ts';
import {type CallRequest, type GenerationRequest, type ScenarioRequest} from './_requests.ts';

/** An engine as a scenario describes it. */
export type EngineDescription = {name: string; service: string; availabilityZone: string; options: Record<string, unknown>};

/** State of a running scenario. */
export type ScenarioContext = {
	readonly fleet: Fleet;
	/** Routers that the scenario started with. */
	readonly routerNames: string[];
	/** Returns the name of a process, which for `engineOf` is the engine that decodes for the request now. */
	resolve(reference: ProcessReference): Promise<string>;
	/** Returns the name of a link, or of the one that leads to a process. */
	resolveLink(reference: ProcessReference): Promise<string>;
	/** Ends a process if it still runs and starts it again with the same settings. */
	restart(name: string): Promise<void>;
	/** Starts an engine and adds its host; the list must then be published. */
	startEngine(engine: EngineDescription): Promise<void>;
	/** Changes and publishes the host list. */
	setHostState(name: string, state: 'live' | 'leaving' | 'gone'): Promise<void>;
	/** Publishes service files with the scenario's workspaces. */
	publish(services: Service[]): Promise<ProgramEnd>;
	/** Returns the key of a workspace. */
	key(workspace: string): string;
	/** Remembers a request by its name. */
	addRequest(request: ScenarioRequest): void;
	/** Finds a request by name. */
	request(name: string): ScenarioRequest;
	/** Finds a generation by name. */
	generation(name: string): GenerationRequest;
	/** Finds a call by name. */
	call(name: string): CallRequest;
	/** Names the engines, of those that answer, which know a generation of this prompt. */
	enginesThatRan(prompt: string): Promise<string[]>;
	/** Tokens of prefill and decode, on engines that answer, beyond those of the scenario's whole answers. */
	extraWork(): Promise<number>;
	/** Sums the runs of an idempotency key over the plain services. */
	runsOf(key: string): Promise<number>;
};
