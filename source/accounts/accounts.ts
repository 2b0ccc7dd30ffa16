/**
 * Usage by workspace at this router.
 *
 * @module
 */
import {type UsageTotals} from '../membership/mod.ts';

const noUsage: UsageTotals = {deliveredTokens: 0, extraTokens: 0, calls: 0};

/**
 * Counts what each workspace used here since this router started; every total only rises.
 *
 * @example
 * ```ts
 * accounts.delivered('club', 'briefs', 1);
 * accounts.totals().get('club'); // {deliveredTokens: 1, extraTokens: 0, calls: 0}
 * ```
 */
export class Accounts {
	readonly #totals = new Map<string, UsageTotals>();

	/**
	 * Counts tokens sent to a caller; they are the workspace's account.
	 *
	 * @param workspace The caller's workspace.
	 * @param _service The service that generated them.
	 * @param tokens Number of tokens.
	 */
	delivered(workspace: string, _service: string, tokens: number): void {
		this.#add(workspace, {...noUsage, deliveredTokens: tokens});
	}

	/**
	 * Counts work that the system did again after a loss; it is kept apart from the workspace's account.
	 *
	 * @param workspace The caller's workspace.
	 * @param _service The service that did the work.
	 * @param tokens Tokens of prefill and decode beyond an undisturbed run.
	 */
	extra(workspace: string, _service: string, tokens: number): void {
		this.#add(workspace, {...noUsage, extraTokens: tokens});
	}

	/**
	 * Counts one call to a plain service.
	 *
	 * @param workspace The caller's workspace.
	 * @param _service The service called.
	 */
	called(workspace: string, _service: string): void {
		this.#add(workspace, {...noUsage, calls: 1});
	}

	/** Totals by workspace. */
	totals(): ReadonlyMap<string, UsageTotals> {
		return this.#totals;
	}

	#add(workspace: string, more: UsageTotals): void {
		const total = this.#totals.get(workspace) ?? noUsage;
		this.#totals.set(workspace, {
			deliveredTokens: total.deliveredTokens + more.deliveredTokens,
			extraTokens: total.extraTokens + more.extraTokens,
			calls: total.calls + more.calls,
		});
	}
}
