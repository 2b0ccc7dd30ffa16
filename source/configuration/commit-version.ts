/**
 * Commits a version by compare-and-set, and determines the outcome when a response of the store was lost.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {type Operation, type PlatformClient} from '../table-service/mod.ts';
import {pause} from '../supervision/mod.ts';
import {
	configurationTable, headKey, headSchema, retainedVersions, versionKey, versionRowSchema, type StoredHead,
} from './stored-configuration.ts';

/** Delay between two attempts while the store does not respond, in milliseconds. */
const retryMilliseconds = 250;

/**
 * Outcome of the publication that a token identifies: `accepted`; `not_published`, now and in future; or `forgotten`, when
 * its version row has already been removed.
 */
export type Settlement = {kind: 'accepted'; version: number} | {kind: 'not_published'} | {kind: 'forgotten'};

/** Why a version was not committed, or why the outcome of its publication is not known yet. */
export type CommitFailure = {
	message: string;
	/** Whether the version may have been committed although no response confirmed it. */
	mayHaveTakenEffect: boolean;
};

/** Time limit for retries. */
export type RetryDeadline = {
	/** Returns monotonic time, in milliseconds. */
	clock: () => number;
	/** Time of that clock after which there are no further attempts. */
	until: number;
};

/** Options of {@linkcode commitVersion}. */
export type CommitVersionOptions = RetryDeadline & {
	platform: PlatformClient;
	/** The head row as read before. The commit succeeds only if the row still has this revision. */
	stored: StoredHead;
	/** Digest of the new version's index. */
	index: string;
	/** Token of this publication, from {@linkcode versionToken}. */
	token: string;
};

/**
 * Returns the token that identifies one publication of a version.
 *
 * @param version Number of the version.
 * @param publicationId Unique identifier of the publication.
 */
export function versionToken(version: number, publicationId: string): string {
	return `${version}-${publicationId}`;
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
 * Writes head row and version row in one transaction; after a lost response, the version row shows whether it took effect.
 *
 * The transaction can be retried safely, because its conditions let it take effect at most once.
 *
 * @param options The expected head, and the version to write.
 * @returns `accepted`, `superseded` when another publication was committed first, or a failure after the deadline.
 */
export async function commitVersion(options: CommitVersionOptions): Promise<Result<'accepted' | 'superseded', CommitFailure>> {
	const {platform, stored, token} = options;
	let mayHaveTakenEffect = false;
	for (;;) {
		const written = await platform.transact(commitOperations(options));
		if (written.isOk() && written.value.kind === 'committed') {
			return ok('accepted');
		}

		mayHaveTakenEffect ||= written.isErr() && written.error.kind === 'unknown';
		const found = await readVersionState(platform, stored.head.version + 1);
		if (found.isOk() && found.value.token !== undefined) {
			return ok(found.value.token === token ? 'accepted' : 'superseded');
		}

		if (found.isOk() && found.value.revision !== stored.revision) {
			return ok('superseded');
		}

		if (options.clock() >= options.until) {
			const message = written.isErr() ? written.error.message : 'the store did not respond';
			return err({message, mayHaveTakenEffect});
		}

		await pause(retryMilliseconds);
	}
}

/**
 * Determines the outcome of a publication when it is unknown.
 *
 * If its transaction has not taken effect, this rewrites the head row with the same value. That increments the row's
 * revision, so that the transaction, if it is still in flight, can no longer take effect.
 *
 * @param platform Client of the platform.
 * @param token Token that the publisher reported.
 * @param deadline Time limit for retries.
 * @example
 * ```ts
 * const settled = await settlePublication(platform, '42-6f…', {clock, until: clock() + 20_000});
 * ```
 */
export async function settlePublication(platform: PlatformClient, token: string, deadline: RetryDeadline): Promise<Result<Settlement, CommitFailure>> {
	const version = Number(token.split('-')[0]);
	for (;;) {
		const found = await readVersionState(platform, version);
		const settled = found.isOk() ? await settleFromState(platform, found.value, token, version) : undefined;
		if (settled) {
			return ok(settled);
		}

		if (deadline.clock() >= deadline.until) {
			return err({message: found.isErr() ? found.error : 'the store did not respond', mayHaveTakenEffect: true});
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
	if (version > retainedVersions) {
		operations.push({
			kind: 'delete', table: configurationTable, key: versionKey(version - retainedVersions), condition: {kind: 'always'},
		});
	}

	return operations;
}

/** Stored state of the head row and of one version row. */
type VersionState = {token: string | undefined; headVersion: number; headValue: unknown; revision: number};

async function readVersionState(platform: PlatformClient, version: number): Promise<Result<VersionState, string>> {
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

async function settleFromState(platform: PlatformClient, found: VersionState, token: string, version: number): Promise<Settlement | undefined> {
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
