/**
 * Retry budget that all gateways share.
 *
 * @module
 */

export * from './peer-borrower.ts';
export {creditsPerRetry} from './retry-credits.ts';
export * from './retry-loan-message.ts';
export * from './shared-retry-budget.ts';
export * from './slack-borrower.ts';
export type {Lender} from './choose-lenders.ts';
export type {SlackLimits} from './slack-ledger.ts';
