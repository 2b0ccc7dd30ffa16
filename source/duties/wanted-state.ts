/**
 * The state that each engine should be in, as the service files say it.
 *
 * @module
 */
import {type ModelService, type Service} from '../configuration/mod.ts';
import {type EngineLoad} from '../endpoints/mod.ts';

/** An engine that one duty orders, and the models that it should serve. */
export type WantedEngine = {address: string; models: EngineLoad['models']};

/** Options of {@linkcode wantedEngines}. */
export type WantedEnginesOptions = {
	/** Service whose duty is asked for. */
	service: ModelService;
	/** Every service of the configuration in force. */
	services: readonly Service[];
	/** Returns the addresses of a service's engines that are not leaving. */
	endpointsOf: (service: string) => readonly string[];
};

/**
 * Returns the engines of one service's duty. An engine that serves several services belongs to the duty of the first by name,
 * which orders the models of all of them, so that no two duties order one engine.
 *
 * @param options The service, its siblings and their endpoints.
 * @example
 * ```ts
 * const engines = wantedEngines({service, services, endpointsOf});
 * ```
 */
export function wantedEngines(options: WantedEnginesOptions): WantedEngine[] {
	const {service, services, endpointsOf} = options;
	const models = services.filter(candidate => candidate.kind === 'model')
		.toSorted((left, right) => left.service < right.service ? -1 : 1);
	return endpointsOf(service.service).flatMap(address => {
		const sharing = models.filter(candidate => candidate.service === service.service || endpointsOf(candidate.service).includes(address));
		return sharing[0]?.service === service.service ? [{address, models: mergeModels(sharing)}] : [];
	});
}

/**
 * Returns whether an engine reports just the wanted models, in any order.
 *
 * @param reported Models as the engine reports them.
 * @param wanted Models as the service files say.
 * @example
 * ```ts
 * isInWantedState(load.models, engine.models);
 * ```
 */
export function isInWantedState(reported: EngineLoad['models'], wanted: EngineLoad['models']): boolean {
	return normalized(reported) === normalized(wanted);
}

function mergeModels(services: readonly ModelService[]): EngineLoad['models'] {
	const merged = new Map<string, EngineLoad['models'][number]>();
	for (const {model} of services) {
		const key = `${model.name} ${model.version}`;
		const entry = merged.get(key) ?? {model: model.name, version: model.version, adapters: []};
		if (model.adapter !== undefined && !entry.adapters.includes(model.adapter)) {
			entry.adapters.push(model.adapter);
		}

		merged.set(key, entry);
	}

	return [...merged.values()];
}

function normalized(models: EngineLoad['models']): string {
	return JSON.stringify(models
		.map(({model, version, adapters}) => [model, version, ...adapters.toSorted()])
		.toSorted((left, right) => JSON.stringify(left) < JSON.stringify(right) ? -1 : 1));
}
