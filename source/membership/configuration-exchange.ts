/**
 * Differences between configuration versions, with which a router updates its peers without the platform.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import {
	err, ok, type Result,
} from 'neverthrow';
import {
	configurationSchema, type Configuration, type ActiveConfiguration, type Service, type Workspace,
} from '../configuration/mod.ts';
import {type ConfigurationDifference} from './peer-protocol.ts';

/** Why a difference was rejected. */
export type DifferenceFailure = {kind: 'wrong_base' | 'unreadable'; message: string};

type Item = Service | Workspace;

/** Number of recent versions kept as base versions; a peer with an older version receives the whole configuration. */
const maxRetainedVersions = 8;

/**
 * Keeps the most recent versions in force and computes the difference from each of them to the current one.
 *
 * @example
 * ```ts
 * const difference = exchange.differenceFrom(41);
 * const configuration = exchange.apply(difference);
 * ```
 */
export class ConfigurationExchange {
	readonly #inForce: ActiveConfiguration;
	readonly #versions = new Map<number, Configuration>();

	constructor(inForce: ActiveConfiguration) {
		this.#inForce = inForce;
		inForce.onChange(configuration => {
			this.#versions.set(configuration.version, configuration);
			if (this.#versions.size > maxRetainedVersions) {
				this.#versions.delete(this.#versions.keys().next().value!);
			}
		});
	}

	/** Returns the difference from a base version to the current one; `undefined` when this router has no newer version. */
	differenceFrom(baseVersion: number): ConfigurationDifference | undefined {
		const {current} = this.#inForce;
		if (!current || current.version <= baseVersion) {
			return undefined;
		}

		const base = this.#versions.get(baseVersion);
		return {
			baseVersion: base ? baseVersion : 0,
			version: current.version,
			digest: digestOf(current),
			services: changedItems(current.services, base?.services ?? []),
			workspaces: changedItems(current.workspaces, base?.workspaces ?? []),
			removedServices: removedNames(current.services, base?.services ?? []),
			removedWorkspaces: removedNames(current.workspaces, base?.workspaces ?? []),
		};
	}

	/** Applies a difference to its base version, and validates the result against the schema and the digest. */
	apply(difference: ConfigurationDifference): Result<Configuration, DifferenceFailure> {
		const base = this.#versions.get(difference.baseVersion);
		if (!base && difference.baseVersion !== 0) {
			return err({kind: 'wrong_base', message: `base version ${difference.baseVersion} is not available`});
		}

		const checked = configurationSchema.safeParse({
			version: difference.version,
			services: merge(base?.services ?? [], difference.services, difference.removedServices),
			workspaces: merge(base?.workspaces ?? [], difference.workspaces, difference.removedWorkspaces),
		});
		if (!checked.success) {
			return err({kind: 'unreadable', message: checked.error.message});
		}

		return base && digestOf(checked.data) !== difference.digest
			? err({kind: 'wrong_base', message: 'the digest of the resulting configuration differs'})
			: ok(checked.data);
	}
}

function nameOf(item: Item): string {
	return 'service' in item ? item.service : item.workspace;
}

function changedItems(current: readonly Item[], base: readonly Item[]): string[] {
	const before = new Set(base.map(item => JSON.stringify(item)));
	return current.map(item => JSON.stringify(item)).filter(text => !before.has(text));
}

function removedNames(current: readonly Item[], base: readonly Item[]): string[] {
	const names = new Set(current.map(item => nameOf(item)));
	return base.map(item => nameOf(item)).filter(name => !names.has(name));
}

function merge(base: readonly Item[], changed: readonly string[], removed: readonly string[]): unknown[] {
	const items = new Map<string, unknown>(base.map(item => [nameOf(item), item]));
	for (const name of removed) {
		items.delete(name);
	}

	for (const text of changed) {
		const item = parseItem(text);
		items.set(item.name, item.value);
	}

	return [...items.values()];
}

/** Parses an item; the schema of the whole configuration validates it afterwards. */
function parseItem(text: string): {name: string; value: unknown} {
	try {
		const value: unknown = JSON.parse(text);
		const named = typeof value === 'object' && value !== null ? value : {};
		const name = 'service' in named ? named.service : ('workspace' in named ? named.workspace : text);
		return {name: String(name), value};
	} catch {
		return {name: text, value: undefined};
	}
}

/** Returns a digest that does not depend on the order of the items. */
function digestOf({services, workspaces}: Configuration): string {
	const lines = [...services, ...workspaces].map(item => JSON.stringify(item)).toSorted();
	return createHash('sha256').update(lines.join('\n')).digest('hex').slice(0, 32);
}
