/**
 * A randomized soak: real gateways, faults from outside, and checks of what callers and workers see.
 *
 * @module
 */
export {drawPlan, soakPlanSchema, type SoakPlan} from './plan.ts';
export {playSoak, type Finding, type SoakResult} from './soak.ts';
export {shortenPlan} from './shorten-plan.ts';
