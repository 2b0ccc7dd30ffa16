/**
 * Requests that end the process of each endpoint that runs them.
 *
 * @module
 */

export * from './known-suspicions.ts';
export * from './request-identity.ts';
export * from './request-suspects.ts';
export * from './suspicion-table.ts';
export {
	decodeSuspicion, suspicionSchema, type Suspicion,
} from './suspicion.ts';
