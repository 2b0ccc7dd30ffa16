/**
 * Registers gateways in the store, so that other gateways can discover one when all those that they know are gone.
 *
 * @module
 */
import {type RowStore, type StoredRow} from '../stored-rows/mod.ts';
import {pause} from '../supervision/pause.ts';
import {type Logger} from '../telemetry/logger.ts';
import {registeredMemberSchema, type RegisteredMember} from './member.ts';
import {type MemberTable} from './member-table.ts';

/** Table in which gateways register themselves. */
const memberTable = 'gateways';

/** Options of {@linkcode registerMember}. */
export type RegisterMemberOptions = {
	members: MemberTable;
	store: Pick<RowStore, 'era' | 'readTable' | 'writeRow'>;
	logger: Logger;
	/** Returns whether this gateway should be registered now. */
	shouldRegister: () => boolean;
	/** Steady time, in milliseconds. */
	clock: () => number;
	random: () => number;
};

/** Initial backoff after a failed registration, in milliseconds. */
const firstRetryMilliseconds = 200;

/** Longest backoff after a failed registration, in milliseconds. */
const longestRetryMilliseconds = 3000;

/** Interval at which to check whether to register, in milliseconds. */
const recheckMilliseconds = 500;

/**
 * Registers this gateway as soon as `shouldRegister` returns true, and reads the registrations of the others; retries until it succeeds.
 * Registers it again when the store came back from an older copy, which may lack the registration.
 *
 * @param options Member table, store and condition.
 * @param signal Aborts the task.
 */
export async function registerMember(options: RegisterMemberOptions, signal: AbortSignal): Promise<void> {
	const {logger, shouldRegister, random} = options;
	let retryMilliseconds = firstRetryMilliseconds;
	let registeredEra: number | undefined;
	while (!signal.aborted) {
		if (!shouldRegister() || options.store.era === registeredEra) {
			await pause(recheckMilliseconds, signal);
			continue;
		}

		const {era} = options.store;
		if (await tryRegister(options, signal)) {
			// The first response names the era.
			registeredEra = registeredEra === undefined ? options.store.era : era;
			retryMilliseconds = firstRetryMilliseconds;
			continue;
		}

		logger.warn('gateway could not register', {retryMilliseconds});
		await pause(retryMilliseconds * (0.5 + random()), signal);
		retryMilliseconds = Math.min(retryMilliseconds * 2, longestRetryMilliseconds);
	}
}

async function tryRegister({members, store, logger, clock}: RegisterMemberOptions, signal: AbortSignal): Promise<boolean> {
	const self = registeredMemberSchema.parse(members.self);
	const written = await store.writeRow({table: memberTable, key: self.name, content: JSON.stringify(self)});
	const rows = written.isOk() ? await store.readTable(memberTable, signal) : undefined;
	if (!rows?.isOk()) {
		return false;
	}

	const registered = rows.value.rows.flatMap(row => decodeMember(row, logger));
	members.register(registered, clock());
	logger.info('gateway registered', {others: registered.length - 1});
	return true;
}

function decodeMember({key, content}: StoredRow, logger: Logger): RegisteredMember[] {
	try {
		return [registeredMemberSchema.parse(JSON.parse(new TextDecoder().decode(content)))];
	} catch (error) {
		logger.warn('registration cannot be read', {key, reason: String(error)});
		return [];
	}
}
