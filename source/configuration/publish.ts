/**
 * Publishes collected files as one new version.
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
import {mergeChanges, type FileConflict, type WantedFiles} from './merge-changes.ts';
import {splitFile, type SplitFile, type SplitFileOptions} from './split-file.ts';
import {
	configurationTable, contentDigest, objectName, readHead, versionKey, versionRowSchema, type ConfigurationIndex, type StoredHead,
} from './stored-configuration.ts';
import {VersionLoader} from './version-loader.ts';

/** Time between two tries of a read or an object's write, in milliseconds. */
const retryMilliseconds = 250;

/** What became of a publication. */
export type Publication = {version: number; changed: boolean};

/** Why nothing was published, or why that is not known. */
export type PublishFailure
	= | {kind: 'unavailable' | 'unreadable' | 'bad_base' | 'bad_removal'; message: string}
		/** The files contradict what others have in force. */
		| {kind: 'faults'; faults: DocumentFault[]}
		/** Somebody else changed the same files. */
		| {kind: 'conflict'; version: number; conflicts: FileConflict[]}
		/** The version may have taken effect; the token settles it later. */
		| {kind: 'unknown'; message: string; token: string};

/** Options of {@linkcode publish}. */
export type PublishOptions = {
	platform: PlatformClient;
	files: CollectedFile[];
	/** Names of files to remove, `service/NAME` or `workspaces/FILE`. Default none. */
	remove?: string[];
	/** Version that the operator started from. Default the version in force at the start. */
	base?: number;
	/** Returns a name that no other publication has. */
	newName: () => string;
	/** Returns a time that only rises, in milliseconds. */
	clock: () => number;
	/** Time to wait for a store that gives no answer, in milliseconds, once before and once after the write. Default 20,000. */
	patienceMilliseconds?: number;
	/** How workspaces files are split. Default as {@linkcode splitFile} does. */
	split?: SplitFileOptions;
};

type InForce = {stored: StoredHead; index: ConfigurationIndex};

/**
 * Stores the changed files as objects, then writes head and version row by compare-and-set.
 *
 * When somebody else was first, the changes are merged on top of theirs and tried again, unless both changed the same file.
 *
 * @param options Platform, files and base.
 * @returns The version in force afterwards, or a failure.
 * @example
 * ```ts
 * const publication = await publish({platform, files, newName: randomUUID, clock: () => performance.now()});
 * ```
 */
export async function publish(options: PublishOptions): Promise<Result<Publication, PublishFailure>> {
	return new Publisher(options).run();
}

class Publisher {
	readonly #options: PublishOptions;
	readonly #loader: VersionLoader;
	readonly #split: SplitFile[];
	readonly #stored = new Set<string>();

	constructor(options: PublishOptions) {
		this.#options = options;
		this.#loader = new VersionLoader(options.platform);
		this.#split = options.files.map(file => splitFile(file, options.split));
	}

	async run(): Promise<Result<Publication, PublishFailure>> {
		const start = await this.#readInForce();
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

		let inForce: Result<InForce, PublishFailure> = start;
		while (inForce.isOk()) {
			const outcome = await this.#publishOn(inForce.value, base.value);
			if (outcome.isErr()) {
				return err(outcome.error);
			}

			if (outcome.value !== 'superseded') {
				return ok(outcome.value);
			}

			inForce = await this.#readInForce();
		}

		return err(inForce.error);
	}

	/** Publishes on top of one version; `superseded` when somebody else was first. */
	async #publishOn({stored, index}: InForce, base: ConfigurationIndex): Promise<Result<Publication | 'superseded', PublishFailure>> {
		const version = stored.head.version + 1;
		const merged = mergeChanges({
			wanted: this.#wanted(), base, current: index, version,
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
		const {platform, clock, newName} = this.#options;
		const version = stored.head.version + 1;
		const token = versionToken(version, newName());
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
			if (this.#split.some(file => file.name === name)) {
				return err({kind: 'bad_removal', message: `${name} is to be removed, but the folders describe it`});
			}

			if (!indexes.some(({files}) => Object.hasOwn(files, name))) {
				return err({kind: 'bad_removal', message: `${name} is not in force`});
			}
		}

		return ok();
	}

	#wanted(): WantedFiles {
		const wanted = new Map<string, string[] | undefined>(this.#split.map(({name, parts}) => [name, [...parts.keys()]]));
		for (const name of this.#options.remove ?? []) {
			wanted.set(name, undefined);
		}

		return wanted;
	}

	/** Stores the objects of the operator's files that the merged version names, and its index. */
	async #putObjects(merged: ConfigurationIndex, indexText: string): Promise<Result<void, PublishFailure>> {
		const named = new Set(Object.values(merged.files).flatMap(({parts}) => parts));
		const contents = this.#split.flatMap(({parts}) => [...parts]).filter(([digest]) => named.has(digest));
		for (const [digest, content] of [...contents, [contentDigest(indexText), indexText] as const]) {
			if (this.#stored.has(digest)) {
				continue;
			}

			const put = await this.#untilAnswered(async () => this.#options.platform.putObject(objectName(digest), content));
			if (put.isErr()) {
				return err({kind: 'unavailable', message: put.error.message});
			}

			this.#stored.add(digest);
		}

		return ok();
	}

	/** Loads the merged version as a router would, and checks the workspaces of all files against each other. */
	async #checkMerged(version: number, merged: ConfigurationIndex): Promise<Result<Configuration, PublishFailure>> {
		const loaded = await this.#untilAnswered(async () => this.#loader.assemble(version, merged));
		if (loaded.isErr()) {
			return err({...loaded.error, message: `version ${version} could not be read back: ${loaded.error.message}`});
		}

		const sources = workspacesSources(this.#options.files);
		const own = new Set(sources.flatMap(({workspaces}) => workspaces.map(({workspace}) => workspace)));
		const kept = await this.#keptWorkspaces(version, merged);
		if (kept.isErr()) {
			return err(kept.error);
		}

		const faults = own.size === 0
			? []
			: checkWorkspaces([
				{file: 'the version in force', workspaces: kept.value, lineOf: () => 1},
				...sources,
			]);
		return faults.length > 0 ? err({kind: 'faults', faults}) : ok(loaded.value);
	}

	/** Returns the workspaces of files that this publication does not bring. */
	async #keptWorkspaces(version: number, merged: ConfigurationIndex): Promise<Result<Configuration['workspaces'], PublishFailure>> {
		const own = new Set(this.#split.map(({name}) => name));
		const files = Object.fromEntries(Object.entries(merged.files).filter(([name]) => !own.has(name)));
		const kept = await this.#untilAnswered(async () => this.#loader.assemble(version, {files}));
		return kept.map(({workspaces}) => workspaces).mapErr(({kind, message}) => ({kind, message}));
	}

	async #readInForce(): Promise<Result<InForce, PublishFailure>> {
		const stored = await this.#untilAnswered(async () => readHead(this.#options.platform));
		if (stored.isErr()) {
			return err({kind: stored.error.kind, message: stored.error.message});
		}

		const index = await this.#untilAnswered(async () => this.#loader.readIndex(stored.value.head.index));
		return index.map(value => ({stored: stored.value, index: value}));
	}

	/** Reads the index that the operator started from. */
	async #readBase(start: InForce): Promise<Result<ConfigurationIndex, PublishFailure>> {
		const {base, platform} = this.#options;
		if (base === undefined || base === start.stored.head.version) {
			return ok(start.index);
		}

		const rows = await this.#untilAnswered(async () => platform.read([{table: configurationTable, key: versionKey(base)}]));
		if (rows.isErr()) {
			return err({kind: 'unavailable', message: rows.error.message});
		}

		const row = versionRowSchema.safeParse(rows.value[0]?.value);
		if (base !== 0 && !row.success) {
			return err({kind: 'bad_base', message: `there is no version ${base}; version ${start.stored.head.version} is in force`});
		}

		return this.#untilAnswered(async () => this.#loader.readIndex(row.data?.index ?? ''));
	}

	/** Repeats a step that changes nothing when repeated, until the store answers or patience is over. */
	async #untilAnswered<Value, Failure extends {kind: string}>(step: () => Promise<Result<Value, Failure>>): Promise<Result<Value, Failure>> {
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
		return this.#options.clock() + (this.#options.patienceMilliseconds ?? 20_000);
	}
}
