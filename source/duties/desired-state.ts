/**
 * Desired state of each engine, as the service files define it.
 *
 * @module
 */
import {type ModelService, type Service} from '../configuration/mod.ts';
import {type EngineLoad} from '../endpoints/mod.ts';

/** An engine that belongs to a duty, and the models that it should serve. */
export type DesiredEngine = {address: string; models: EngineLoad['models']};

/** Options of {@linkcode desiredEngines}. */
export type DesiredEnginesOptions = {
	/** Service whose duty is considered. */
	service: ModelService;
	/** Every service of the configuration in force. */
	services: readonly Service[];
	/** Returns the addresses of a service's engines that are not leaving. */
	endpointsOf: (service: string) => readonly string[];
};

/**
 * Returns the engines of one service's duty. An engine that serves several services belongs to the duty of the first by name, which
 * manages the models of all of them, so that no two duties manage the same engine.
 *
 * @param options The service, all services and their endpoints.
 * @example
 * ```ts
 * const engines = desiredEngines({service, services, endpointsOf});
 * ```
 */
export function desiredEngines(options: DesiredEnginesOptions): DesiredEngine[] {
	const {service, services, endpointsOf} = options;
	const models = services.filter(candidate => candidate.kind === 'model')
		.toSorted((left, right) => left.service < right.service ? -1 : 1);
	return endpointsOf(service.service).flatMap(address => {
		const sharing = models.filter(candidate => candidate.service === service.service || endpointsOf(candidate.service).includes(address));
		return sharing[0]?.service === service.service ? [{address, models: mergeModels(sharing)}] : [];
	});
}

/**
 * Returns whether an engine reports exactly the desired models, in any order.
 *
 * @param reported Models as the engine reports them.
 * @param desired Models that the engine should serve.
 * @example
 * ```ts
 * isInDesiredState(load.models, engine.models);
 * ```
 */
export function isInDesiredState(reported: EngineLoad['models'], desired: EngineLoad['models']): boolean {
	return normalize(reported) === normalize(desired);
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

function normalize(models: EngineLoad['models']): string {
	return JSON.stringify(models
		.map(({model, version, adapters}) => [model, version, ...adapters.toSorted()])
		.toSorted((left, right) => JSON.stringify(left) < JSON.stringify(right) ? -1 : 1));
}
