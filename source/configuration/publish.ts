/**
 * Publishes collected files as a new version of the configuration.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {type PlatformClient} from '../table-service/mod.ts';
import {type DocumentFault} from '../settings/mod.ts';
import {pause} from '../supervision/mod.ts';
import {checkWorkspaces} from './check-workspaces.ts';
import {workspacesSources, type CollectedFile} from './collect-files.ts';
import {commitVersion, versionToken} from './commit-version.ts';
import {type Configuration} from './configuration.ts';
import {mergeChanges, type FileConflict, type DesiredFiles} from './merge-changes.ts';
import {splitFile, type SplitFile, type SplitFileOptions} from './split-file.ts';
import {
	configurationTable, contentDigest, objectName, readHead, versionKey, versionRowSchema, type ConfigurationIndex, type StoredHead,
} from './stored-configuration.ts';
import {VersionLoader} from './version-loader.ts';

/** Delay between two attempts of a read or an object write, in milliseconds. */
const retryMilliseconds = 250;

/** Outcome of a successful publication: the active version, and whether this publication created it. */
export type Publication = {version: number; changed: boolean};

/** Why nothing was published, or why the outcome is unknown. */
export type PublishFailure
	= | {kind: 'unavailable' | 'unreadable' | 'bad_base' | 'bad_removal'; message: string}
		/** The files conflict with active files of others: a workspace or key is defined twice. */
		| {kind: 'faults'; faults: DocumentFault[]}
		/** Another operator changed the same files. */
		| {kind: 'conflict'; version: number; conflicts: FileConflict[]}
		/** The version may have been committed; its outcome can be determined later by the token. */
		| {kind: 'unknown'; message: string; token: string};

/** Options of {@linkcode publish}. */
export type PublishOptions = {
	platform: PlatformClient;
	files: CollectedFile[];
	/** Names of files to remove, `service/NAME` or `workspaces/FILE`. Default is none. */
	remove?: string[];
	/** Version that the operator started from. Default is the version that is active when the publication starts. */
	base?: number;
	/** Returns a unique identifier for a publication. */
	createPublicationId: () => string;
	/** Returns monotonic time, in milliseconds. */
	clock: () => number;
	/** Time to retry while the store does not respond, in milliseconds, for each read, object write and commit. Default is 20,000. */
	storeTimeoutMilliseconds?: number;
	/** How workspaces files are split. Default is that of {@linkcode splitFile}. */
	split?: SplitFileOptions;
};

type ActiveVersion = {stored: StoredHead; index: ConfigurationIndex};

/**
 * Stores the changed files as objects, then commits head row and version row by compare-and-set.
 *
 * When another publication was committed first, merges the changes into it and retries, unless both changed the same file.
 *
 * @param options Platform, files and base.
 * @returns The active version afterwards, or a failure.
 * @example
 * ```ts
 * const publication = await publish({platform, files, createPublicationId: randomUUID, clock: () => performance.now()});
 * ```
 */
export async function publish(options: PublishOptions): Promise<Result<Publication, PublishFailure>> {
	return new Publisher(options).run();
}

class Publisher {
	readonly #options: PublishOptions;
	readonly #loader: VersionLoader;
	readonly #splitFiles: SplitFile[];
	readonly #storedDigests = new Set<string>();

	constructor(options: PublishOptions) {
		this.#options = options;
		this.#loader = new VersionLoader(options.platform);
		this.#splitFiles = options.files.map(file => splitFile(file, options.split));
	}

	async run(): Promise<Result<Publication, PublishFailure>> {
		const start = await this.#readActive();
		if (start.isErr()) {
			return err(start.error);
		}

		const base = await this.#readBase(start.value);
		if (base.isErr()) {
			return err(base.error);
		}

		const removal = this.#checkRemovals(start.value.index, base.value);
		if (removal.isErr()) {
			return err(removal.error);
		}

		let active: Result<ActiveVersion, PublishFailure> = start;
		while (active.isOk()) {
			const outcome = await this.#publishOnTopOf(active.value, base.value);
			if (outcome.isErr()) {
				return err(outcome.error);
			}

			if (outcome.value !== 'superseded') {
				return ok(outcome.value);
			}

			active = await this.#readActive();
		}

		return err(active.error);
	}

	/** Publishes on top of the given version; returns `superseded` when another publication was committed first. */
	async #publishOnTopOf({stored, index}: ActiveVersion, base: ConfigurationIndex): Promise<Result<Publication | 'superseded', PublishFailure>> {
		const version = stored.head.version + 1;
		const merged = mergeChanges({
			desired: this.#desiredFiles(), base, current: index, version,
		});
		if (merged.isErr()) {
			return err({kind: 'conflict', version: stored.head.version, conflicts: merged.error});
		}

		if (merged.value === undefined) {
			return ok({version: stored.head.version, changed: false});
		}

		const indexText = JSON.stringify(merged.value);
		const prepared = await this.#putObjects(merged.value, indexText);
		const checked = prepared.isErr() ? err(prepared.error) : await this.#checkMerged(version, merged.value);
		return checked.isErr() ? err(checked.error) : this.#commit(stored, contentDigest(indexText));
	}

	async #commit(stored: StoredHead, index: string): Promise<Result<Publication | 'superseded', PublishFailure>> {
		const {platform, clock, createPublicationId} = this.#options;
		const version = stored.head.version + 1;
		const token = versionToken(version, createPublicationId());
		const committed = await commitVersion({
			platform, stored, index, token, clock, until: this.#deadline(),
		});
		if (committed.isErr()) {
			const {message, mayHaveTakenEffect} = committed.error;
			return err(mayHaveTakenEffect ? {kind: 'unknown', message, token} : {kind: 'unavailable', message});
		}

		return ok(committed.value === 'accepted' ? {version, changed: true} : 'superseded');
	}

	#checkRemovals(...indexes: ConfigurationIndex[]): Result<void, PublishFailure> {
		for (const name of this.#options.remove ?? []) {
			if (this.#splitFiles.some(file => file.name === name)) {
				return err({kind: 'bad_removal', message: `${name} is to be removed, but the folders contain it`});
			}

			if (!indexes.some(({files}) => Object.hasOwn(files, name))) {
				return err({kind: 'bad_removal', message: `${name} is not in force`});
			}
		}

		return ok();
	}

	#desiredFiles(): DesiredFiles {
		const desired = new Map<string, string[] | undefined>(this.#splitFiles.map(({name, parts}) => [name, [...parts.keys()]]));
		for (const name of this.#options.remove ?? []) {
			desired.set(name, undefined);
		}

		return desired;
	}

	/** Stores the merged index and the objects of the operator's files that it references. */
	async #putObjects(merged: ConfigurationIndex, indexText: string): Promise<Result<void, PublishFailure>> {
		const referenced = new Set(Object.values(merged.files).flatMap(({parts}) => parts));
		const contents = this.#splitFiles.flatMap(({parts}) => [...parts]).filter(([digest]) => referenced.has(digest));
		for (const [digest, content] of [...contents, [contentDigest(indexText), indexText] as const]) {
			if (this.#storedDigests.has(digest)) {
				continue;
			}

			const put = await this.#retryUntilAnswered(async () => this.#options.platform.putObject(objectName(digest), content));
			if (put.isErr()) {
				return err({kind: 'unavailable', message: put.error.message});
			}

			this.#storedDigests.add(digest);
		}

		return ok();
	}

	/** Loads the merged version like a router does, and checks that workspaces and keys are unique across all files. */
	async #checkMerged(version: number, merged: ConfigurationIndex): Promise<Result<Configuration, PublishFailure>> {
		const loaded = await this.#retryUntilAnswered(async () => this.#loader.assemble(version, merged));
		if (loaded.isErr()) {
			return err({...loaded.error, message: `version ${version} could not be read back: ${loaded.error.message}`});
		}

		const sources = workspacesSources(this.#options.files);
		const ownWorkspaces = new Set(sources.flatMap(({workspaces}) => workspaces.map(({workspace}) => workspace)));
		const others = await this.#otherWorkspaces(version, merged);
		if (others.isErr()) {
			return err(others.error);
		}

		const faults = ownWorkspaces.size === 0
			? []
			: checkWorkspaces([
				{file: 'the version in force', workspaces: others.value, lineOf: () => 1},
				...sources,
			]);
		return faults.length > 0 ? err({kind: 'faults', faults}) : ok(loaded.value);
	}

	/** Returns the workspaces of the files that are not part of this publication. */
	async #otherWorkspaces(version: number, merged: ConfigurationIndex): Promise<Result<Configuration['workspaces'], PublishFailure>> {
		const ownNames = new Set(this.#splitFiles.map(({name}) => name));
		const files = Object.fromEntries(Object.entries(merged.files).filter(([name]) => !ownNames.has(name)));
		const others = await this.#retryUntilAnswered(async () => this.#loader.assemble(version, {files}));
		return others.map(({workspaces}) => workspaces).mapErr(({kind, message}) => ({kind, message}));
	}

	async #readActive(): Promise<Result<ActiveVersion, PublishFailure>> {
		const stored = await this.#retryUntilAnswered(async () => readHead(this.#options.platform));
		if (stored.isErr()) {
			return err({kind: stored.error.kind, message: stored.error.message});
		}

		const index = await this.#retryUntilAnswered(async () => this.#loader.readIndex(stored.value.head.index));
		return index.map(value => ({stored: stored.value, index: value}));
	}

	/** Reads the index of the version that the operator started from. */
	async #readBase(start: ActiveVersion): Promise<Result<ConfigurationIndex, PublishFailure>> {
		const {base, platform} = this.#options;
		if (base === undefined || base === start.stored.head.version) {
			return ok(start.index);
		}

		const rows = await this.#retryUntilAnswered(async () => platform.read([{table: configurationTable, key: versionKey(base)}]));
		if (rows.isErr()) {
			return err({kind: 'unavailable', message: rows.error.message});
		}

		const row = versionRowSchema.safeParse(rows.value[0]?.value);
		if (base !== 0 && !row.success) {
			return err({kind: 'bad_base', message: `there is no version ${base}; version ${start.stored.head.version} is in force`});
		}

		return this.#retryUntilAnswered(async () => this.#loader.readIndex(row.data?.index ?? ''));
	}

	/** Retries an idempotent step until the store responds or the timeout has passed. */
	async #retryUntilAnswered<Value, Failure extends {kind: string}>(step: () => Promise<Result<Value, Failure>>): Promise<Result<Value, Failure>> {
		const until = this.#deadline();
		for (;;) {
			const outcome = await step();
			if (outcome.isOk() || outcome.error.kind === 'unreadable' || this.#options.clock() >= until) {
				return outcome;
			}

			await pause(retryMilliseconds);
		}
	}

	#deadline(): number {
		return this.#options.clock() + (this.#options.storeTimeoutMilliseconds ?? 20_000);
	}
}
