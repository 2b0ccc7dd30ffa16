/**
 * Runs a call that is not idempotent: claims it, sends it at most once and writes the outcome to the claim.
 *
 * @module
 */
import {randomUUID} from 'node:crypto';
import {type Socket} from 'node:net';
import {type Refusal} from '../answers/mod.ts';
import {openSingleUseConnection, sendOnce, type ServiceResponse} from '../endpoints/mod.ts';
import {pause} from '../supervision/mod.ts';
import {
	outcomeOfRepeat, toStoredAnswer, unknownOutcome,
} from './_outcome-of-repeat.ts';
import {
	acquireEndpoint, defaultRetryAfterSeconds, noEndpointRefusal, notRunRefusal, recordLimit, type CallOutcome, type CallParts, type KeyedCall,
} from './call.ts';
import {digestCall, type Claim, type ClaimName} from './claim.ts';
import {type FinalClaimState} from './claim-store.ts';

/** Time after a call's deadline within which its router should write the final state of the claim, in milliseconds. */
const finishMarginMilliseconds = 1000;

/** Time for which the answer waits for the final write of the claim, in milliseconds; the write then continues in the background. */
const finishWaitMilliseconds = 500;

/** Time for which a refusal waits for the withdrawal of the claim, in milliseconds; the withdrawal then continues in the background. */
const withdrawalWaitMilliseconds = 2000;

const connectTimeoutMilliseconds = 1000;

/** Maximum number of endpoints to which a connection is attempted. */
const maximumConnectAttempts = 3;

/** A claimed call. */
type ClaimedCall = {call: KeyedCall; parts: CallParts; name: ClaimName; claim: Claim};

type Connection = {socket: Socket; endpoint: string};

/**
 * Runs a call at most once for its idempotency key, across all routers and repeats.
 *
 * @param call The call and its key.
 * @param parts Components of the router.
 * @returns The service's answer to this or an earlier attempt, or a refusal whose `run` covers all attempts under the key.
 * @example
 * ```ts
 * const outcome = await runAtMostOnce(call, parts);
 * ```
 */
export async function runAtMostOnce(call: KeyedCall, parts: CallParts): Promise<CallOutcome> {
	const name = {workspace: call.workspace, service: call.service.service, idempotencyKey: call.idempotencyKey};
	const claim: Claim = {
		token: randomUUID(),
		callDigest: digestCall(call.request),
		router: parts.incarnation,
		endsBefore: parts.wallClock() + (call.deadline - parts.clock()) + finishMarginMilliseconds,
		state: 'running',
	};
	const claimed = {
		call, parts, name, claim,
	};
	const outcome = await parts.claims.claim(name, claim);
	call.span.addEvent('claim', {outcome: outcome.kind});
	switch (outcome.kind) {
		case 'claimed': {
			return runClaimedCall(claimed);
		}

		case 'held': {
			return outcomeOfRepeat(outcome.claim, claim.callDigest, parts.wallClock());
		}

		case 'unavailable': {
			return storeRefusal(call.firstAttempt ? 'no' : 'unknown');
		}

		case 'unread': {
			return storeRefusal('unknown');
		}

		case 'unsettled': {
			void trackWrite(parts, parts.claims.withdraw(name, claim));
			return storeRefusal('unknown');
		}
	}
}

async function runClaimedCall(claimed: ClaimedCall): Promise<CallOutcome> {
	const {call, parts} = claimed;
	const connection = await openConnection(call, parts);
	if (!connection) {
		return withdrawAndRefuse(claimed, notRunRefusal(call, parts));
	}

	const {socket, endpoint} = connection;
	const remaining = call.deadline - parts.clock();
	if (remaining <= 0) {
		socket.destroy();
		return withdrawAndRefuse(claimed, {
			status: 504, code: 'deadline_exceeded', message: 'The call could not be sent in time.', run: 'no', retryAfterSeconds: defaultRetryAfterSeconds,
		});
	}

	const span = parts.tracing.start('call', call.span, {endpoint});
	parts.placement.recordStart(endpoint, 1);
	const request = {...call.request, headers: {...call.request.headers, ...parts.tracing.inject(span)}};
	const sentAt = parts.clock();
	const answer = await sendOnce(socket, request, AbortSignal.timeout(Math.ceil(remaining)));
	parts.placement.recordEnd(endpoint, 1);
	span.setAttribute('outcome', answer.isOk() ? answer.value.status : answer.error.message);
	span.end();
	if (answer.isOk()) {
		parts.placement.recordSuccess(endpoint, parts.clock());
		recordLimit(endpoint, answer.value, sentAt, parts);
		return finishWithAnswer(claimed, answer.value);
	}

	parts.placement.recordFailure(endpoint, parts.clock());
	if (!answer.error.sent) {
		return withdrawAndRefuse(claimed, noEndpointRefusal(call.service.service, 'no'));
	}

	await finishClaim(claimed, {state: 'unknown'});
	return unknownOutcome(parts.clock() >= call.deadline ? 504 : 502);
}

/** Opens a connection to one of the endpoints. Nothing is sent before one is open, so another endpoint may be tried. */
async function openConnection(call: KeyedCall, parts: CallParts): Promise<Connection | undefined> {
	const failed = new Set<string>();
	for (let attempt = 0; attempt < maximumConnectAttempts; attempt += 1) {
		const endpoint = await acquireEndpoint(call, parts, failed);
		const remaining = call.deadline - parts.clock();
		if (endpoint === undefined || remaining <= 0) {
			return undefined;
		}

		const socket = await openSingleUseConnection(endpoint, Math.min(connectTimeoutMilliseconds, remaining));
		if (socket.isOk()) {
			return {socket: socket.value, endpoint};
		}

		call.span.addEvent('not connected', {endpoint, message: socket.error});
		parts.placement.recordFailure(endpoint, parts.clock());
		failed.add(endpoint);
	}

	return undefined;
}

/** Stores the answer in the claim and returns it. */
async function finishWithAnswer(claimed: ClaimedCall, answer: ServiceResponse): Promise<CallOutcome> {
	await finishClaim(claimed, {state: 'ended', answer: toStoredAnswer(answer)});
	return {kind: 'answered', answer};
}

/** Writes the final state of the claim; waits for it only for a limited time. */
async function finishClaim({parts, name, claim}: ClaimedCall, final: FinalClaimState): Promise<void> {
	const written = trackWrite(parts, parts.claims.finish(name, claim, final));
	await withTimeout(finishWaitMilliseconds, written);
}

/** Withdraws the claim and returns a refusal; run "no" is sent only once the claim is withdrawn. */
async function withdrawAndRefuse({parts, name, claim}: ClaimedCall, refusal: Refusal): Promise<CallOutcome> {
	const withdrawal = trackWrite(parts, parts.claims.withdraw(name, claim));
	const settled = await withTimeout(withdrawalWaitMilliseconds, withdrawal);
	return {kind: 'refused', refusal: settled === 'withdrawn' ? refusal : {...refusal, run: 'unknown'}};
}

/** Registers a write, so that a planned stop waits for it even after the answer was sent. */
async function trackWrite<Value>(parts: CallParts, write: Promise<Value>): Promise<Value> {
	const done = parts.track();
	try {
		return await write;
	} finally {
		done();
	}
}

/** Waits for a promise with a timeout; returns `undefined` when it is reached. */
async function withTimeout<Value>(milliseconds: number, promise: Promise<Value>): Promise<Value | undefined> {
	const settled = new AbortController();
	try {
		return await Promise.race([promise, pauseWithoutValue(milliseconds, settled.signal)]);
	} finally {
		settled.abort();
	}
}

async function pauseWithoutValue(milliseconds: number, signal: AbortSignal): Promise<undefined> {
	await pause(milliseconds, signal);
	return undefined;
}

function storeRefusal(run: Refusal['run']): CallOutcome {
	return {
		kind: 'refused',
		refusal: {
			status: 503, code: 'store_unavailable', message: 'The table that keeps claims cannot be used, so the call was not sent by this attempt.', run, retryAfterSeconds: defaultRetryAfterSeconds,
		},
	};
}
