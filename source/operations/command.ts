/**
 * Types shared by the commands of azuretack-operate.
 *
 * @module
 */
import {type Result} from 'neverthrow';
import {type PlatformClient} from '../table-service/mod.ts';
import {type HostFailure, type OperatorHost, type OperatorClient} from './operator-client.ts';

/** Dependencies and options of a command. */
export type CommandContext = {
	platform: PlatformClient;
	client: OperatorClient;
	/** Returns the routers to query. */
	hosts: () => Promise<Result<OperatorHost[], string>>;
	/** Name of the operator, for commands that store it. */
	operator: string | undefined;
	/** Whether the operator confirms that the router of a claim has ended. */
	routerEnded: boolean;
	/** Returns the wall-clock time, in milliseconds. */
	wallClock: () => number;
	/** Returns a unique name. */
	newName: () => string;
};

/** Result of a command. */
export type CommandReport = {
	/** Machine-readable result, printed with `--json`. */
	value: unknown;
	/** Human-readable result. */
	text: string;
	/** Hosts that did not respond; the report may be incomplete without them. */
	failures: HostFailure[];
};

/** A command: the names of its parameters, and its implementation. */
export type OperateCommand = {
	parameters: string[];
	run: (context: CommandContext, parameters: string[]) => Promise<Result<CommandReport, string>>;
};
