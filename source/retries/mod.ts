/**
 * Retry budget that all gateways share.
 *
 * @module
 */

export * from './shared-retry-budget.ts';
export * from './slack-borrower.ts';
export type {SlackLimits} from './slack-ledger.ts';
