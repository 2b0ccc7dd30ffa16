/**
 * How usage totals travel from a router to the few peers that would write them for it.
 *
 * @module
 */
import {type UsageReport} from './peer-protocol.ts';

/** Running totals of one workspace at one router incarnation; each only rises. */
export type UsageTotals = {
	/** Tokens delivered to callers. */
	deliveredTokens: number;
	/** Tokens of prefill and decode beyond an undisturbed run. */
	extraTokens: number;
	calls: number;
};

/** One router from its start to its end. */
export type RouterIdentity = {hostName: string; incarnation: string};

/** What membership needs of the accounts. */
export type UsageExchange = {
	/** This router's totals by workspace. */
	totals(): ReadonlyMap<string, UsageTotals>;
	/** Takes totals that a peer told. */
	heard(router: RouterIdentity, workspace: string, totals: UsageTotals): void;
	/** Called when the connection to a peer has ended, with the wall-clock time. */
	disconnected(router: RouterIdentity, now: number): void;
	/** Called when a peer has connected. */
	connected(router: RouterIdentity): void;
};

/** Workspaces told in one message at most. */
const reportedWorkspaces = 3000;

/** Writes the reports of one connection: changed totals only, each workspace's name only once. */
export class UsageReporter {
	readonly #positions = new Map<string, number>();
	readonly #told = new Map<string, string>();

	/** Returns the totals that changed since they were last told, or nothing. */
	report(totals: ReadonlyMap<string, UsageTotals>): UsageReport | undefined {
		const report: UsageReport = {
			names: [], positions: [], deliveredTokens: [], extraTokens: [], calls: [],
		};
		for (const [workspace, {deliveredTokens, extraTokens, calls}] of totals) {
			const text = `${deliveredTokens} ${extraTokens} ${calls}`;
			if (this.#told.get(workspace) === text || report.positions.length >= reportedWorkspaces) {
				continue;
			}

			this.#told.set(workspace, text);
			report.positions.push(this.#positionOf(workspace, report));
			report.deliveredTokens.push(deliveredTokens);
			report.extraTokens.push(extraTokens);
			report.calls.push(calls);
		}

		return report.positions.length > 0 ? report : undefined;
	}

	#positionOf(workspace: string, report: UsageReport): number {
		const known = this.#positions.get(workspace);
		if (known !== undefined) {
			return known;
		}

		const position = this.#positions.size;
		this.#positions.set(workspace, position);
		report.names.push(workspace);
		return position;
	}
}

/** Reads the reports of one connection. */
export class UsageReader {
	readonly #names: string[] = [];

	/** Returns the totals of a report by workspace. */
	read(report: UsageReport): Map<string, UsageTotals> {
		this.#names.push(...report.names);
		const totals = new Map<string, UsageTotals>();
		for (const [row, position] of report.positions.entries()) {
			const workspace = this.#names[position];
			if (workspace !== undefined) {
				totals.set(workspace, {
					deliveredTokens: report.deliveredTokens[row] ?? 0, extraTokens: report.extraTokens[row] ?? 0, calls: report.calls[row] ?? 0,
				});
			}
		}

		return totals;
	}
}
