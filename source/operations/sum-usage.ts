/**
 * Sums the token usage of each workspace.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {usageRowSchema, usageTable} from '../accounts/mod.ts';
import {type PlatformClient, type Row} from '../table-service/mod.ts';
import {formatTextTable} from './text-table.ts';

/** Rows read per page. */
const pageRows = 1000;

/** Usage totals of one workspace over all current and former routers. */
export type WorkspaceUsage = {workspace: string; deliveredTokens: number; extraTokens: number; calls: number};

/** Usage sorted by workspace name, and the keys of rows that could not be read. */
export type Usage = {workspaces: WorkspaceUsage[]; unreadableRows: string[]};

/**
 * Sums the usage totals of every router incarnation.
 *
 * @param platform Client of the platform.
 * @example
 * ```ts
 * const usage = await sumUsage(platform);
 * ```
 */
export async function sumUsage(platform: PlatformClient): Promise<Result<Usage, string>> {
	const sums = new Map<string, WorkspaceUsage>();
	const unreadableRows: string[] = [];
	let after: string | undefined;
	for (;;) {
		const page = await platform.list({
			table: usageTable, prefix: '', after, limit: pageRows,
		});
		if (page.isErr()) {
			return err(page.error.message);
		}

		for (const row of page.value) {
			if (!addRow(sums, row)) {
				unreadableRows.push(row.key);
			}
		}

		after = page.value.at(-1)?.key;
		if (page.value.length < pageRows) {
			return ok({workspaces: [...sums.values()].toSorted((left, right) => left.workspace < right.workspace ? -1 : 1), unreadableRows});
		}
	}
}

/**
 * Formats the usage as a table.
 *
 * @param usage Result of {@linkcode sumUsage}.
 */
export function formatUsage({workspaces, unreadableRows}: Usage): string {
	const rows = workspaces.map(({workspace, deliveredTokens, extraTokens, calls}) => [workspace, deliveredTokens, extraTokens, calls]);
	const unreadable = unreadableRows.map(key => `row ${key} cannot be read and is not counted`);
	return [formatTextTable(['workspace', 'delivered tokens', 'extra tokens', 'calls'], rows), ...unreadable].join('\n');
}

function addRow(sums: Map<string, WorkspaceUsage>, row: Row): boolean {
	const checked = usageRowSchema.safeParse(row.value);
	if (!checked.success) {
		return false;
	}

	const {workspace, delivered_tokens: deliveredTokens, extra_tokens: extraTokens, calls} = checked.data;
	const sum = sums.get(workspace);
	sums.set(workspace, {
		workspace,
		deliveredTokens: deliveredTokens + (sum?.deliveredTokens ?? 0),
		extraTokens: extraTokens + (sum?.extraTokens ?? 0),
		calls: calls + (sum?.calls ?? 0),
	});
	return true;
}
