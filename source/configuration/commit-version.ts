/**
 * Writes a version by compare-and-set, and settles answers that were lost.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {type Operation, type PlatformClient} from '../table-service/mod.ts';
import {pause} from '../supervision/mod.ts';
import {
	configurationTable, headKey, headSchema, keptVersions, versionKey, versionRowSchema, type StoredHead,
} from './stored-configuration.ts';

/** Time between two tries while the store gives no answer, in milliseconds. */
const retryMilliseconds = 250;

/** What became of a token: accepted, surely not and never will be, or too long ago to tell. */
export type Settlement = {kind: 'accepted'; version: number} | {kind: 'not_published'} | {kind: 'forgotten'};

/** Why a token could not be settled yet. */
export type Unsettled = {
	message: string;
	/** Whether the version may be in force although nobody could tell so. */
	mayHaveTakenEffect: boolean;
};

/** How long to try. */
export type Patience = {
	/** Returns a time that only rises, in milliseconds. */
	clock: () => number;
	/** Time at which to give up, on that clock. */
	until: number;
};

/** Options of {@linkcode commitVersion}. */
export type CommitVersionOptions = Patience & {
	platform: PlatformClient;
	/** The head as read before; the version goes on top of exactly this one. */
	stored: StoredHead;
	/** Digest of the new version's index. */
	index: string;
	/** Token of this version, from {@linkcode versionToken}. */
	token: string;
};

/**
 * Returns a token that names a version and whoever publishes it.
 *
 * @param version Number of the version.
 * @param name Name that no other publication has.
 */
export function versionToken(version: number, name: string): string {
	return `${version}-${name}`;
}

/**
 * Returns whether a text has the form of a token.
 *
 * @param text Any text.
 */
export function isVersionToken(text: string): boolean {
	return /^[1-9]\d{0,9}-./v.test(text);
}

/**
 * Writes head and version row in one transaction; after a lost answer the version row tells whether it took effect.
 *
 * The same transaction may be sent again, because its conditions let it take effect once at most.
 *
 * @param options Head before, and what to write.
 * @returns `accepted`, `superseded` when somebody else was first, or a failure when the time is over.
 */
export async function commitVersion(options: CommitVersionOptions): Promise<Result<'accepted' | 'superseded', Unsettled>> {
	const {platform, stored, token} = options;
	let mayHaveTakenEffect = false;
	for (;;) {
		const written = await platform.transact(commitOperations(options));
		if (written.isOk() && written.value.kind === 'committed') {
			return ok('accepted');
		}

		mayHaveTakenEffect ||= written.isErr() && written.error.kind === 'unknown';
		const found = await readAttempt(platform, stored.head.version + 1);
		if (found.isOk() && found.value.token !== undefined) {
			return ok(found.value.token === token ? 'accepted' : 'superseded');
		}

		if (found.isOk() && found.value.revision !== stored.revision) {
			return ok('superseded');
		}

		if (options.clock() >= options.until) {
			const message = written.isErr() ? written.error.message : 'the store gave no answer';
			return err({message, mayHaveTakenEffect});
		}

		await pause(retryMilliseconds);
	}
}

/**
 * Finds out what became of a publication whose outcome is unknown.
 *
 * When its transaction has not taken effect, the head row is written again as it is: its revision rises, so that the
 * transaction can never take effect later.
 *
 * @param platform Client of the platform.
 * @param token Token that the publisher named.
 * @param patience How long to try.
 * @example
 * ```ts
 * const settled = await settlePublication(platform, '42-6f…', {clock, until: clock() + 20_000});
 * ```
 */
export async function settlePublication(platform: PlatformClient, token: string, patience: Patience): Promise<Result<Settlement, Unsettled>> {
	const version = Number(token.split('-')[0]);
	for (;;) {
		const found = await readAttempt(platform, version);
		const settled = found.isOk() ? await settleFrom(platform, found.value, token, version) : undefined;
		if (settled) {
			return ok(settled);
		}

		if (patience.clock() >= patience.until) {
			return err({message: found.isErr() ? found.error : 'the store gave no answer', mayHaveTakenEffect: true});
		}

		await pause(retryMilliseconds);
	}
}

function commitOperations({stored, index, token}: CommitVersionOptions): Operation[] {
	const version = stored.head.version + 1;
	const operations: Operation[] = [
		{
			kind: 'put',
			table: configurationTable,
			key: headKey,
			value: {version, index},
			condition: headCondition(stored.revision),
		},
		{
			kind: 'put', table: configurationTable, key: versionKey(version), value: {token, index}, condition: {kind: 'absent'},
		},
	];
	if (version > keptVersions) {
		operations.push({
			kind: 'delete', table: configurationTable, key: versionKey(version - keptVersions), condition: {kind: 'always'},
		});
	}

	return operations;
}

/** What the store tells about one version. */
type Attempt = {token: string | undefined; headVersion: number; headValue: unknown; revision: number};

async function readAttempt(platform: PlatformClient, version: number): Promise<Result<Attempt, string>> {
	const rows = await platform.read([headKey, versionKey(version)].map(key => ({table: configurationTable, key})));
	if (rows.isErr()) {
		return err(rows.error.message);
	}

	const head = rows.value.find(({key}) => key === headKey);
	const row = rows.value.find(({key}) => key === versionKey(version));
	const checkedHead = headSchema.safeParse(head?.value);
	const checkedRow = versionRowSchema.safeParse(row?.value);
	return ok({
		token: checkedRow.success ? checkedRow.data.token : undefined,
		headVersion: checkedHead.success ? checkedHead.data.version : 0,
		headValue: head?.value ?? {version: 0, index: ''},
		revision: head?.revision ?? 0,
	});
}

async function settleFrom(platform: PlatformClient, found: Attempt, token: string, version: number): Promise<Settlement | undefined> {
	if (found.token !== undefined) {
		return found.token === token ? {kind: 'accepted', version} : {kind: 'not_published'};
	}

	if (found.headVersion >= version) {
		return {kind: 'forgotten'};
	}

	const written = await platform.transact([{
		kind: 'put', table: configurationTable, key: headKey, value: found.headValue, condition: headCondition(found.revision),
	}]);
	return written.isOk() && written.value.kind === 'committed' ? {kind: 'not_published'} : undefined;
}

function headCondition(revision: number): Operation['condition'] {
	return revision === 0 ? {kind: 'absent'} : {kind: 'revision', revision};
}
