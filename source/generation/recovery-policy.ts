/**
 * Recovery policies: the timeouts with which a generation is continued after a failure.
 *
 * @module
 */
import {type ModelService} from '../configuration/mod.ts';

/** Timeouts of a recovery. */
export type RecoveryPolicy = {
	/** Time without an event after which a stream counts as silent, in milliseconds. */
	silenceMilliseconds: number;
	/** Timeout for a silent or disconnected engine to resume its own stream, in milliseconds. */
	resumeTimeoutMilliseconds: number;
	/** Timeout for another engine to accept a stream, in milliseconds. */
	startTimeoutMilliseconds: number;
	/** Time without a token on a running stream after which its engine is given up, in milliseconds. */
	stallTimeoutMilliseconds: number;
	/** Interval of heartbeats to the caller while no token is sent, in milliseconds. */
	heartbeatMilliseconds: number;
};

const policies: Record<ModelService['recovery']['policy'], RecoveryPolicy> = {
	latency: {
		silenceMilliseconds: 500,
		resumeTimeoutMilliseconds: 250,
		startTimeoutMilliseconds: 1000,
		stallTimeoutMilliseconds: 2500,
		heartbeatMilliseconds: 250,
	},
	cost: {
		silenceMilliseconds: 1500,
		resumeTimeoutMilliseconds: 1000,
		startTimeoutMilliseconds: 1500,
		stallTimeoutMilliseconds: 4000,
		heartbeatMilliseconds: 800,
	},
};

/**
 * Returns the recovery policy of a service, with the overrides of its service file.
 *
 * @param service A model service.
 * @example
 * ```ts
 * const {stallTimeoutMilliseconds} = recoveryPolicy(service);
 * ```
 */
export function recoveryPolicy(service: ModelService): RecoveryPolicy {
	const {policy, silenceMilliseconds} = service.recovery;
	const base = policies[policy];
	return {...base, silenceMilliseconds: silenceMilliseconds ?? base.silenceMilliseconds};
}

/**
 * Returns the policy for a stream that follows silent ones: an engine that accepts each resume is slow rather than failed, so the
 * silence timeout doubles each time, up to the stall timeout.
 *
 * @param policy Policy of the service.
 * @param silences Number of consecutive silent streams without a token before this one.
 * @example
 * ```ts
 * withSilenceBackoff(policy, 2).stallTimeoutMilliseconds; // four times as long, at most the stall timeout
 * ```
 */
export function withSilenceBackoff(policy: RecoveryPolicy, silences: number): RecoveryPolicy {
	const doubled = policy.silenceMilliseconds * (2 ** silences);
	return {...policy, silenceMilliseconds: Math.max(policy.silenceMilliseconds, Math.min(doubled, policy.stallTimeoutMilliseconds))};
}
