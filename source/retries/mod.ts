/**
 * How many retries all gateways together may make.
 *
 * @module
 */

export * from './shared-retry-budget.ts';
export * from './slack-borrower.ts';
export type {SlackTerms} from './slack-ledger.ts';
