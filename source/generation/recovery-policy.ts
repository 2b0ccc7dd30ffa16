/**
 * How a generation is continued after a loss: one policy for each word of the service file.
 *
 * @module
 */
import {type ModelService} from '../configuration/mod.ts';

/** Limits and preferences of a recovery. */
export type RecoveryPolicy = {
	/** Time without an event after which a stream counts as silent, in milliseconds. */
	silenceMilliseconds: number;
	/** Deadline of the question to a silent or lost engine for its own stream, in milliseconds. */
	resumeMilliseconds: number;
	/** Deadline for a new engine to accept a stream, in milliseconds. */
	startMilliseconds: number;
	/** Time without a token, on a stream that was running, after which its engine counts as lost, in milliseconds. */
	stallMilliseconds: number;
	/** Time between heartbeats to the caller on a stream without a token, in milliseconds. */
	heartbeatMilliseconds: number;
};

const policies: Record<ModelService['recovery']['policy'], RecoveryPolicy> = {
	latency: {
		silenceMilliseconds: 500,
		resumeMilliseconds: 250,
		startMilliseconds: 1000,
		stallMilliseconds: 2500,
		heartbeatMilliseconds: 250,
	},
	cost: {
		silenceMilliseconds: 1500,
		resumeMilliseconds: 1000,
		startMilliseconds: 1500,
		stallMilliseconds: 4000,
		heartbeatMilliseconds: 800,
	},
};

/**
 * Returns the recovery policy of a service, with what its file overrides.
 *
 * @param service The service of model engines.
 * @example
 * ```ts
 * const {silenceMilliseconds} = recoveryPolicy(service);
 * ```
 */
export function recoveryPolicy(service: ModelService): RecoveryPolicy {
	const {policy, silenceMilliseconds} = service.recovery;
	const base = policies[policy];
	return {...base, silenceMilliseconds: silenceMilliseconds ?? base.silenceMilliseconds};
}

/**
 * Returns the policy for a stream that follows silent ones: an engine that answers each time is slow, not gone, so it is
 * asked at doubled intervals.
 *
 * @param policy Policy of the service.
 * @param silences Silent streams without a token just before this one.
 * @example
 * ```ts
 * patientPolicy(policy, 2).silenceMilliseconds; // four times as long
 * ```
 */
export function patientPolicy(policy: RecoveryPolicy, silences: number): RecoveryPolicy {
	const doubled = policy.silenceMilliseconds * (2 ** silences);
	return {...policy, silenceMilliseconds: Math.max(policy.silenceMilliseconds, Math.min(doubled, policy.stallMilliseconds))};
}
