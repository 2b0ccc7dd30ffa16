/**
 * What the commands of azuretack-operate have in common.
 *
 * @module
 */
import {type Result} from 'neverthrow';
import {type PlatformClient} from '../table-service/mod.ts';
import {type HostFailure, type OperatedHost, type OperatorClient} from './operator-client.ts';

/** What a command works with. */
export type CommandContext = {
	platform: PlatformClient;
	client: OperatorClient;
	/** Returns the routers to ask. */
	hosts: () => Promise<Result<OperatedHost[], string>>;
	/** Name of the operator, for commands that keep it. */
	operator: string | undefined;
	/** Whether the operator vouches that the router of a claim has ended. */
	routerEnded: boolean;
	/** Returns the wall-clock time, in milliseconds. */
	wallClock: () => number;
	/** Returns a name that is used once. */
	newName: () => string;
};

/** What a command found. */
export type Report = {
	/** For programs. */
	value: unknown;
	/** For people. */
	text: string;
	/** Hosts that gave no answer, so that the report may not be whole. */
	failures: HostFailure[];
};

/** One command: names of its parameters, and what it does with them. */
export type OperateCommand = {
	parameters: string[];
	run: (context: CommandContext, parameters: string[]) => Promise<Result<Report, string>>;
};
