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

/** Maximum number of concurrent object reads. */
const concurrentReads = 4;

/** Checked content of an object. */
type Content = {services: Service[]; workspaces: Workspace[]};

type Failure = {kind: 'unavailable' | 'unreadable'; message: string};

/** Schemas of objects by the prefix of their file's name. */
const contentSchemas: Record<string, z.ZodType<Content>> = {
	service: serviceFileSchema.transform(service => ({services: [service], workspaces: []})),
	workspaces: workspacesFileSchema.transform(({workspaces}) => ({services: [], workspaces})),
};

/**
 * Loads versions and caches the checked objects of the last one, so that a new version reads only changed objects.
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
	 * Loads the version that a head row references.
	 *
	 * @param head The head row's value; its version is at least 1.
	 */
	async load(head: ConfigurationHead): Promise<Result<Configuration, LoadFailure>> {
		const index = await this.readIndex(head.index);
		const loaded = index.isErr() ? err(index.error) : await this.assemble(head.version, index.value);
		if (index.isOk() && loaded.isOk()) {
			this.#retainOnly(index.value);
		}

		return loaded.mapErr(({kind, message}): LoadFailure => kind === 'unreadable' ? {kind, version: head.version, message} : {kind, message});
	}

	/**
	 * Reads an index.
	 *
	 * @param digest Digest of the index; empty for version 0.
	 */
	async readIndex(digest: string): Promise<Result<ConfigurationIndex, Failure>> {
		return digest === '' ? ok({files: {}}) : this.#readObject(digest, configurationIndexSchema);
	}

	/**
	 * Assembles a version from its index; reads the objects that are not cached.
	 *
	 * @param version Number of the version.
	 * @param index The index.
	 */
	async assemble(version: number, index: ConfigurationIndex): Promise<Result<Configuration, Failure>> {
		const parts = Object.entries(index.files).flatMap(([name, file]) => file.parts.map(digest => ({name, digest})));
		const missing = parts.filter(({digest}) => !this.#contents.has(digest));
		for (let first = 0; first < missing.length; first += concurrentReads) {
			const group = missing.slice(first, first + concurrentReads);
			const read = await Promise.all(group.map(async ({name, digest}) => this.#loadContent(name, digest)));
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

	#retainOnly(index: ConfigurationIndex): void {
		const referenced = new Set(Object.values(index.files).flatMap(({parts}) => parts));
		this.#contents = new Map([...this.#contents].filter(([digest]) => referenced.has(digest)));
	}

	async #loadContent(name: string, digest: string): Promise<Result<void, Failure>> {
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
			return err({kind: 'unreadable', message: `object ${digest} is ${content.value === undefined ? 'missing' : 'corrupt'}`});
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
	return checked.success ? ok(checked.data) : err({kind: 'unreadable', message: `does not match the schema of this program: ${checked.error.message}`});
}
