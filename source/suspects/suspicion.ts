/**
 * Suspicion that a request, or a part of prompts that requests share, crashes endpoints; shared by all gateways.
 *
 * Handles a request that crashes every endpoint that runs it and is sent again through any gateway, requests of which no two are alike but
 * which share a prompt part that crashes engines, and innocent requests that merely ran on those endpoints. All times are the store's, in
 * milliseconds.
 *
 * @module
 */
import {type Result} from 'neverthrow';
import * as z from 'zod';
import {decodeRow} from '../stored-rows/mod.ts';
import {endpointIncarnationSchema, type EndpointIncarnation} from '../registry/mod.ts';

/** Schema of what a suspicion is about: one request, or a part of prompts that requests share. */
export const subjectKindSchema = z.enum(['request', 'part']);

/** What a suspicion is about. */
export type SubjectKind = z.output<typeof subjectKindSchema>;

/** Schema of a suspicion as it is stored and sent. */
export const suspicionSchema = z.object({
	kind: subjectKindSchema.default('request'),
	service: z.string(),
	/** Incarnations of endpoints that crashed while running the request, or a request with the part, since it was last served. */
	ends: z.array(endpointIncarnationSchema),
	/** Number of trials started since it was refused; one that did not run is subtracted again. */
	trials: z.number(),
	/** Number of those trials whose request had another suspected part. */
	jointTrials: z.number().default(0),
	/** Number of trials that were reverted since they did not run. */
	reverts: z.number().default(0),
	/** Whether a trial is in progress, as far as known. */
	isTried: z.boolean().default(false),
	/** Time of the last crash or trial. */
	changedAt: z.number(),
	/** Last known time at which a request with the part was served; absent if none is known. */
	servedAt: z.number().optional(),
});

/** Suspicion against one request or prompt part. */
export type Suspicion = z.output<typeof suspicionSchema>;

/** Whether a trial tests one suspected subject alone, or a request that has several of them. */
export type TrialScope = 'sole' | 'joint';

/** How a kind of subject is handled. */
type SuspicionPolicy = {
	/** Number of crashes from which a suspicion is published to all gateways, so that any of them can clear it. */
	publishThreshold: number;
	/** Number of crashes from which requests are refused. */
	refusalThreshold: number;
	/** The same if the subject was served shortly before the crashes. */
	provenRefusalThreshold: number;
	/**
	 * Delays from the last crash or trial to the next trial, in milliseconds, by the number of earlier trials of that scope. After the last
	 * trial the subject stays refused until the suspicion expires.
	 */
	trialDelays: Record<TrialScope, readonly number[]>;
	/** Maximum number of trials that are reverted. */
	maximumReverts: number;
};

/**
 * A request is refused after several crashes, since hardly any other request depends on it. A prompt part may be in any number of
 * requests, each of which crashes an engine, so one crash is enough unless the part is known to be served; the first trial then starts at
 * once, so that a sound part is cleared within one prompt's time. The second one follows when no request with a crashing part can still run,
 * since such a request may have crashed the engine of the first; the third one when every gateway has learned which part crashes engines.
 */
const policies: Record<SubjectKind, SuspicionPolicy> = {
	request: {
		publishThreshold: 2, refusalThreshold: 3, provenRefusalThreshold: 3, trialDelays: {sole: [2000, 30_000], joint: [2000, 30_000]}, maximumReverts: Number.POSITIVE_INFINITY,
	},
	part: {
		publishThreshold: 1, refusalThreshold: 1, provenRefusalThreshold: 3, trialDelays: {sole: [0, 1500, 3000, 60_000], joint: [0]}, maximumReverts: 1,
	},
};

/** Maximum number of crashes to record; further ones add no information. */
const maximumRecordedCrashes = 8;

/** Time for which a served request proves that its prompt parts are sound, in milliseconds. */
export const proofMilliseconds = 60_000;

/** Time from the last crash or trial until a suspicion expires, in milliseconds. */
export const suspicionTimeToLiveMilliseconds = 3_600_000;

/** Whether a suspicion is published to all gateways. */
export function isPublished(suspicion: Suspicion): boolean {
	return suspicion.kind === 'part' ? isRefused(suspicion) : suspicion.ends.length >= policies[suspicion.kind].publishThreshold;
}

/** Whether requests are refused, except for trials. */
export function isRefused({kind, ends, servedAt, changedAt}: Suspicion): boolean {
	const {refusalThreshold, provenRefusalThreshold} = policies[kind];
	const isProven = servedAt !== undefined && changedAt - servedAt < proofMilliseconds;
	return ends.length >= (isProven ? provenRefusalThreshold : refusalThreshold);
}

/** Delay from the last crash or trial until the next trial of a scope may begin, in milliseconds. */
export function trialDelay({kind, trials, jointTrials}: Suspicion, scope: TrialScope): number {
	const earlier = kind === 'part' && scope === 'joint' ? jointTrials : trials - jointTrials;
	return policies[kind].trialDelays[scope][earlier] ?? suspicionTimeToLiveMilliseconds;
}

/** Whether a suspicion has expired. */
export function isExpired({changedAt}: Suspicion, now: number): boolean {
	return now - changedAt >= suspicionTimeToLiveMilliseconds;
}

/** Whether a suspicion has more crashes or trials than another one. */
export function hasMoreEvidence(one: Suspicion, other: Suspicion | undefined): boolean {
	return !other || one.ends.length > other.ends.length || one.trials > other.trials;
}

/** Whether two values identify the same incarnation of an endpoint. */
export function isSameIncarnation(one: EndpointIncarnation, other: EndpointIncarnation): boolean {
	return one.id === other.id && one.startedAt === other.startedAt;
}

/** A crash of an endpoint as evidence against a subject. */
export type CrashEvidence = {
	kind: SubjectKind;
	service: string;
	/** The incarnation that crashed. */
	incarnation: EndpointIncarnation;
	/** Time at which a request with the part was last served before the crash; absent if none is known. */
	servedAt?: number;
};

/**
 * Adds a crash to the suspicion against a subject. Crashes from before the subject was last served count no longer.
 *
 * @param before Previous suspicion, if any.
 * @param crash The crash.
 * @param now Current time.
 * @returns The new suspicion; `before` itself if it already has this crash.
 */
export function addCrash(before: Suspicion | undefined, {kind, service, incarnation, servedAt}: CrashEvidence, now: number): Suspicion {
	const isOutdated = before !== undefined && (isExpired(before, now) || (servedAt !== undefined && servedAt > before.changedAt));
	if (!before || isOutdated) {
		return {
			kind, service, ends: [incarnation], trials: 0, jointTrials: 0, reverts: 0, isTried: false, changedAt: now, servedAt,
		};
	}

	return before.ends.some(end => isSameIncarnation(end, incarnation))
		? before
		: {
			...before, ends: [...before.ends, incarnation].slice(-maximumRecordedCrashes), isTried: false, changedAt: now, servedAt: latest(before.servedAt, servedAt),
		};
}

/**
 * Adds the knowledge that a part was served before the crashes.
 *
 * @param before Previous suspicion.
 * @param servedAt Time at which it was served.
 * @returns The new suspicion; `before` itself if it is not refused by fewer crashes than a served part needs.
 */
export function addProof(before: Suspicion, servedAt: number): Suspicion {
	const proven = {...before, servedAt: latest(before.servedAt, servedAt)};
	return isRefused(before) && !isRefused(proven) ? proven : before;
}

/**
 * Starts a trial of a refused subject.
 *
 * @param before Previous suspicion.
 * @param scope Whether the request has other suspected subjects.
 * @param now Current time.
 * @returns The new suspicion; `undefined` if no trial may start yet.
 */
export function beginTrial(before: Suspicion, scope: TrialScope, now: number): Suspicion | undefined {
	return now - before.changedAt >= trialDelay(before, scope)
		? {
			...before, trials: before.trials + 1, jointTrials: before.jointTrials + (scope === 'joint' ? 1 : 0), isTried: true, changedAt: now,
		}
		: undefined;
}

/** Reverts a trial that did not run, so that the subject gets another one after the same delay; few trials of a part are reverted, since an engine that refuses one was reached. */
export function revertTrial(before: Suspicion, scope: TrialScope, now: number): Suspicion {
	if (before.reverts >= policies[before.kind].maximumReverts) {
		return {...before, isTried: false};
	}

	const isJoint = scope === 'joint' && before.jointTrials > 0;
	return {
		...before, trials: Math.max(0, before.trials - 1), jointTrials: before.jointTrials - (isJoint ? 1 : 0), reverts: before.reverts + 1, isTried: false, changedAt: now,
	};
}

function latest(one: number | undefined, other: number | undefined): number | undefined {
	return one === undefined || other === undefined ? one ?? other : Math.max(one, other);
}

/**
 * Decodes a suspicion.
 *
 * @param content Content of the row.
 * @returns The suspicion, or why it cannot be decoded.
 */
export function decodeSuspicion(content: Uint8Array): Result<Suspicion, string> {
	return decodeRow(suspicionSchema, content);
}

/** Encodes a suspicion as the content of a row. */
export function encodeSuspicion(suspicion: Suspicion): string {
	return JSON.stringify(suspicion);
}
