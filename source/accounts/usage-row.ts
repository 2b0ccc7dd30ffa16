/**
 * Rows of the usage table.
 *
 * @module
 */
import * as z from 'zod';
import {type UsageTotals} from '../membership/mod.ts';

/** Table of usage totals, with keys `WORKSPACE/INCARNATION`. The usage of a workspace is the sum over its rows. */
export const usageTable = 'usage';

/** Value of a row. */
export const usageRowSchema = z.object({
	workspace: z.string(),
	/** Host of the router that counted the usage. */
	host: z.string(),
	delivered_tokens: z.number().int().nonnegative(),
	extra_tokens: z.number().int().nonnegative(),
	calls: z.number().int().nonnegative(),
});

/** Value of a row. */
export type UsageRow = z.output<typeof usageRowSchema>;

/** Totals of one workspace at one router incarnation. */
export type UsageRecord = {workspace: string; host: string; incarnation: string; totals: UsageTotals};

/** Returns the key of a record's row. */
export function usageKey({workspace, incarnation}: Pick<UsageRecord, 'workspace' | 'incarnation'>): string {
	return `${workspace}/${incarnation}`;
}

/** Returns the value of a record's row. */
export function usageRow({workspace, host, totals}: UsageRecord): UsageRow {
	return {
		workspace, host, delivered_tokens: totals.deliveredTokens, extra_tokens: totals.extraTokens, calls: totals.calls,
	};
}

/** Returns the maximum of each total. */
export function maximumTotals(left: UsageTotals, right: UsageTotals): UsageTotals {
	return {
		deliveredTokens: Math.max(left.deliveredTokens, right.deliveredTokens),
		extraTokens: Math.max(left.extraTokens, right.extraTokens),
		calls: Math.max(left.calls, right.calls),
	};
}

/** Returns whether all totals are equal. */
export function equalTotals(left: UsageTotals, right: UsageTotals): boolean {
	return left.deliveredTokens === right.deliveredTokens && left.extraTokens === right.extraTokens && left.calls === right.calls;
}
