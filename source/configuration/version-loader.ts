/**
 * Loads versions of the configuration from the platform.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {type z} from 'zod';
import {type PlatformClient} from '../table-service/mod.ts';
import {type Configuration} from './configuration.ts';
import {
	serviceFileSchema, workspacesFileSchema, type Service, type Workspace,
} from './service-file.ts';
import {
	configurationIndexSchema, contentDigest, objectName, type ConfigurationHead, type ConfigurationIndex, type LoadFailure,
} from './stored-configuration.ts';

/** Objects read from the platform at once. */
const concurrentReads = 4;

/** Checked content of an object, by what it describes. */
type Content = {services: Service[]; workspaces: Workspace[]};

type Failure = {kind: 'unavailable' | 'unreadable'; message: string};

/** Schemas of objects by the first part of their file's name. */
const contentSchemas: Record<string, z.ZodType<Content>> = {
	service: serviceFileSchema.transform(service => ({services: [service], workspaces: []})),
	workspaces: workspacesFileSchema.transform(({workspaces}) => ({services: [], workspaces})),
};

/**
 * Loads versions and keeps the checked objects of the last one, so that a change reads only what it changed.
 *
 * @example
 * ```ts
 * const loader = new VersionLoader(platform);
 * const configuration = await loader.load(head);
 * ```
 */
export class VersionLoader {
	readonly #platform: PlatformClient;
	#contents = new Map<string, Content>();

	constructor(platform: PlatformClient) {
		this.#platform = platform;
	}

	/**
	 * Loads the version that a head names.
	 *
	 * @param head The head row's value; its version is at least 1.
	 */
	async load(head: ConfigurationHead): Promise<Result<Configuration, LoadFailure>> {
		const index = await this.readIndex(head.index);
		const loaded = index.isErr() ? err(index.error) : await this.assemble(head.version, index.value);
		if (index.isOk() && loaded.isOk()) {
			this.#keepOnly(index.value);
		}

		return loaded.mapErr(({kind, message}): LoadFailure => kind === 'unreadable' ? {kind, version: head.version, message} : {kind, message});
	}

	/**
	 * Reads an index.
	 *
	 * @param digest Digest of the index; empty for that of version 0.
	 */
	async readIndex(digest: string): Promise<Result<ConfigurationIndex, Failure>> {
		return digest === '' ? ok({files: {}}) : this.#readObject(digest, configurationIndexSchema);
	}

	/**
	 * Reads every object that an index names and is not kept, and puts the version together.
	 *
	 * @param version Number of the version.
	 * @param index The index.
	 */
	async assemble(version: number, index: ConfigurationIndex): Promise<Result<Configuration, Failure>> {
		const parts = Object.entries(index.files).flatMap(([name, file]) => file.parts.map(digest => ({name, digest})));
		const missing = parts.filter(({digest}) => !this.#contents.has(digest));
		for (let first = 0; first < missing.length; first += concurrentReads) {
			const group = missing.slice(first, first + concurrentReads);
			const read = await Promise.all(group.map(async ({name, digest}) => this.#keep(name, digest)));
			const failed = read.find(outcome => outcome.isErr());
			if (failed) {
				return err(failed._unsafeUnwrapErr());
			}
		}

		const contents = parts.map(({digest}) => this.#contents.get(digest)!);
		return ok({
			version,
			services: contents.flatMap(({services}) => services),
			workspaces: contents.flatMap(({workspaces}) => workspaces),
		});
	}

	#keepOnly(index: ConfigurationIndex): void {
		const named = new Set(Object.values(index.files).flatMap(({parts}) => parts));
		this.#contents = new Map([...this.#contents].filter(([digest]) => named.has(digest)));
	}

	async #keep(name: string, digest: string): Promise<Result<void, Failure>> {
		const schema = contentSchemas[name.split('/')[0]!];
		if (!schema) {
			return err({kind: 'unreadable', message: `no schema for ${name}`});
		}

		const content = await this.#readObject(digest, schema);
		if (content.isErr()) {
			return err({kind: content.error.kind, message: `${name}: ${content.error.message}`});
		}

		this.#contents.set(digest, content.value);
		return ok();
	}

	async #readObject<Schema extends z.ZodType>(digest: string, schema: Schema): Promise<Result<z.output<Schema>, Failure>> {
		const content = await this.#platform.getObject(objectName(digest));
		if (content.isErr()) {
			return err({kind: 'unavailable', message: content.error.message});
		}

		if (content.value === undefined || contentDigest(content.value) !== digest) {
			return err({kind: 'unreadable', message: `object ${digest} is ${content.value === undefined ? 'missing' : 'damaged'}`});
		}

		return parseContent(content.value, schema);
	}
}

function parseContent<Schema extends z.ZodType>(content: string, schema: Schema): Result<z.output<Schema>, Failure> {
	let value: unknown;
	try {
		value = JSON.parse(content);
	} catch (error) {
		return err({kind: 'unreadable', message: `not JSON: ${String(error)}`});
	}

	const checked = schema.safeParse(value);
	return checked.success ? ok(checked.data) : err({kind: 'unreadable', message: `does not fit the schema of this program: ${checked.error.message}`});
}
