/**
 * Counts the usage of each workspace on this router.
 *
 * @module
 */
import {type UsageTotals} from '../membership/mod.ts';

const noUsage: UsageTotals = {deliveredTokens: 0, extraTokens: 0, calls: 0};

/**
 * Usage totals by workspace since this router started. Totals never decrease.
 *
 * @example
 * ```ts
 * usage.recordDeliveredTokens('club', 'briefs', 1);
 * usage.totals().get('club'); // {deliveredTokens: 1, extraTokens: 0, calls: 0}
 * ```
 */
export class WorkspaceUsage {
	readonly #totals = new Map<string, UsageTotals>();

	/**
	 * Adds tokens that were sent to a caller; they count towards the workspace's account.
	 *
	 * @param workspace The caller's workspace.
	 * @param _service The service that generated them.
	 * @param tokens Number of tokens.
	 */
	recordDeliveredTokens(workspace: string, _service: string, tokens: number): void {
		this.#add(workspace, {...noUsage, deliveredTokens: tokens});
	}

	/**
	 * Adds work that was repeated after a failure. It is counted separately from the workspace's account.
	 *
	 * @param workspace The caller's workspace.
	 * @param _service The service that did the work.
	 * @param tokens Tokens of prefill and decode beyond those of a run without failures.
	 */
	recordExtraTokens(workspace: string, _service: string, tokens: number): void {
		this.#add(workspace, {...noUsage, extraTokens: tokens});
	}

	/**
	 * Adds one call to a plain service.
	 *
	 * @param workspace The caller's workspace.
	 * @param _service The service called.
	 */
	recordCall(workspace: string, _service: string): void {
		this.#add(workspace, {...noUsage, calls: 1});
	}

	/** Returns the totals by workspace. */
	totals(): ReadonlyMap<string, UsageTotals> {
		return this.#totals;
	}

	#add(workspace: string, added: UsageTotals): void {
		const total = this.#totals.get(workspace) ?? noUsage;
		this.#totals.set(workspace, {
			deliveredTokens: total.deliveredTokens + added.deliveredTokens,
			extraTokens: total.extraTokens + added.extraTokens,
			calls: total.calls + added.calls,
		});
	}
}
