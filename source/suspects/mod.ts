/**
 * Detects requests, and parts of prompts, that crash every endpoint that runs them, and refuses them at all gateways.
 *
 * @module
 */

export * from './known-suspicions.ts';
export * from './request-identity.ts';
export * from './served-parts.ts';
export * from './suspected-requests.ts';
export * from './suspicion-table.ts';
export * from './suspicion-writer.ts';
export {
	decodeSuspicion, subjectKindSchema, suspicionSchema, type Suspicion,
} from './suspicion.ts';
