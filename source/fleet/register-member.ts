/**
 * Registers gateways in the store, so that others find one when all that they know are gone.
 *
 * @module
 */
import {type StoreClient, type StoredRow} from '../platform/mod.ts';
import {pause} from '../supervision/pause.ts';
import {type Logger} from '../telemetry/logger.ts';
import {registeredMemberSchema, type RegisteredMember} from './member.ts';
import {type MemberTable} from './member-table.ts';

/** Table in which gateways register themselves. */
const memberTable = 'gateways';

/** Options of {@linkcode keepRegistered}. */
export type KeepRegisteredOptions = {
	members: MemberTable;
	store: StoreClient;
	logger: Logger;
	/** Whether this gateway should be found in the store. */
	wanted: () => boolean;
	/** Steady time, in milliseconds. */
	clock: () => number;
	random: () => number;
};

/** First pause before the store is asked again, in milliseconds. */
const firstRetryMilliseconds = 200;

/** Longest pause before the store is asked again, in milliseconds. */
const longestRetryMilliseconds = 3000;

/** Time between two looks at whether to register, in milliseconds. */
const lookMilliseconds = 500;

/**
 * Registers this gateway once it should be found, and reads who else is registered.
 *
 * @param options What is known, and the store.
 * @param signal Ends the task.
 */
export async function keepRegistered(options: KeepRegisteredOptions, signal: AbortSignal): Promise<void> {
	const {logger, wanted, random} = options;
	let retryMilliseconds = firstRetryMilliseconds;
	while (!signal.aborted) {
		if (!wanted()) {
			await pause(lookMilliseconds, signal);
			continue;
		}

		if (await register(options, signal)) {
			return;
		}

		logger.warn('gateway could not register', {retryMilliseconds});
		await pause(retryMilliseconds * (0.5 + random()), signal);
		retryMilliseconds = Math.min(retryMilliseconds * 2, longestRetryMilliseconds);
	}
}

async function register({members, store, logger, clock}: KeepRegisteredOptions, signal: AbortSignal): Promise<boolean> {
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
