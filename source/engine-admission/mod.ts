/**
 * How generations compete for the engines of a service.
 *
 * @module
 */
export {enginePriority, type RankedRequest} from './engine-priority.ts';
