/**
 * Encodes the usage totals that a router sends to the few peers that write them if it fails.
 *
 * @module
 */
import {type UsageReport} from './peer-protocol.ts';

/** Running totals of one workspace at one router incarnation; they never decrease. */
export type UsageTotals = {
	/** Tokens delivered to callers. */
	deliveredTokens: number;
	/** Prefill and decode tokens beyond those of an uninterrupted run. */
	extraTokens: number;
	calls: number;
};

/** One incarnation of a router, from its start to its end. */
export type RouterIdentity = {hostName: string; incarnation: string};

/** Interface to the usage accounts. */
export type UsageExchange = {
	/** This router's totals by workspace. */
	totals(): ReadonlyMap<string, UsageTotals>;
	/** Records totals that a peer reported. */
	recordTotals(router: RouterIdentity, workspace: string, totals: UsageTotals): void;
	/** Called when the connection to a peer has ended, with the wall-clock time. */
	recordDisconnect(router: RouterIdentity, now: number): void;
	/** Called when a peer has connected. */
	recordConnect(router: RouterIdentity): void;
};

/** Maximum number of workspaces in one message. */
const maxReportedWorkspaces = 3000;

/** Encodes the reports of one connection: only changed totals, and each workspace's name only once. */
export class UsageReporter {
	readonly #positions = new Map<string, number>();
	readonly #sent = new Map<string, string>();

	/** Returns the totals that changed since they were last sent, or `undefined` if none did. */
	report(totals: ReadonlyMap<string, UsageTotals>): UsageReport | undefined {
		const report: UsageReport = {
			names: [], positions: [], deliveredTokens: [], extraTokens: [], calls: [],
		};
		for (const [workspace, {deliveredTokens, extraTokens, calls}] of totals) {
			const text = `${deliveredTokens} ${extraTokens} ${calls}`;
			if (this.#sent.get(workspace) === text || report.positions.length >= maxReportedWorkspaces) {
				continue;
			}

			this.#sent.set(workspace, text);
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

/** Decodes the reports of one connection. */
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
