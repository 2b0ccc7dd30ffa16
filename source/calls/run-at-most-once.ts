/**
 * Runs a call that may not be repeated: claimed first, sent at most once, its end written to the claim.
 *
 * @module
 */
import {randomUUID} from 'node:crypto';
import {type Socket} from 'node:net';
import {type Refusal} from '../answers/mod.ts';
import {openSingleConnection, sendOnce, type ServiceAnswer} from '../endpoints/mod.ts';
import {pause} from '../supervision/mod.ts';
import {
	answerOfClaim, storedAnswer, unknownOutcome,
} from './_answer-of-claim.ts';
import {
	chooseEndpoint, comeBackSeconds, noEndpointRefusal, type CallEnd, type CallParts, type KeyedCall,
} from './call.ts';
import {digestCall, type Claim, type ClaimName} from './claim.ts';
import {type ClaimEnd} from './claim-store.ts';

/** Time after a call's deadline in which its router still writes the end, in milliseconds. */
const endMarginMilliseconds = 1000;

/** Time for which the answer waits for the write of the claim's end, in milliseconds; the write goes on behind it. */
const endWaitMilliseconds = 500;

/** Time for which a refusal waits for the withdrawal of the claim, in milliseconds; the withdrawal goes on behind it. */
const withdrawalWaitMilliseconds = 2000;

const connectMilliseconds = 1000;

/** Endpoints to which a connection is tried before the call is given up. */
const connectAttempts = 3;

/** A claimed call. */
type Claimed = {call: KeyedCall; parts: CallParts; name: ClaimName; claim: Claim};

type Connection = {socket: Socket; endpoint: string};

/**
 * Runs a call at most once for its idempotency key, over all routers and repeats.
 *
 * @param call The call and its key.
 * @param parts The router's parts.
 * @returns The service's answer, now or from an earlier attempt, or a refusal whose `run` is true of the key.
 * @example
 * ```ts
 * const end = await runAtMostOnce(call, parts);
 * ```
 */
export async function runAtMostOnce(call: KeyedCall, parts: CallParts): Promise<CallEnd> {
	const name = {workspace: call.workspace, service: call.service.service, idempotencyKey: call.idempotencyKey};
	const claim: Claim = {
		token: randomUUID(),
		callDigest: digestCall(call.request),
		router: parts.incarnation,
		endsBefore: parts.wallClock() + (call.deadline - parts.clock()) + endMarginMilliseconds,
		state: 'running',
	};
	const claimed = {
		call, parts, name, claim,
	};
	const outcome = await parts.claims.claim(name, claim);
	call.span.addEvent('claim', {outcome: outcome.kind});
	switch (outcome.kind) {
		case 'claimed': {
			return runClaimed(claimed);
		}

		case 'held': {
			return answerOfClaim(outcome.claim, claim.callDigest, parts.wallClock());
		}

		case 'unavailable': {
			return storeRefusal(call.firstAttempt ? 'no' : 'unknown');
		}

		case 'unread': {
			return storeRefusal('unknown');
		}

		case 'unsettled': {
			void inBackground(parts, parts.claims.withdraw(name, claim));
			return storeRefusal('unknown');
		}
	}
}

async function runClaimed(claimed: Claimed): Promise<CallEnd> {
	const {call, parts} = claimed;
	const connection = await openConnection(call, parts);
	if (!connection) {
		return withdrawn(claimed, noEndpointRefusal(call.service.service, 'no'));
	}

	const {socket, endpoint} = connection;
	const remaining = call.deadline - parts.clock();
	if (remaining <= 0) {
		socket.destroy();
		return withdrawn(claimed, {
			status: 504, code: 'deadline_exceeded', message: 'The call could not be sent in time.', run: 'no', retryAfterSeconds: comeBackSeconds,
		});
	}

	const span = parts.tracing.start('call', call.span, {endpoint});
	parts.placement.recordStart(endpoint, 1);
	const request = {...call.request, headers: {...call.request.headers, ...parts.tracing.inject(span)}};
	const answer = await sendOnce(socket, request, AbortSignal.timeout(Math.ceil(remaining)));
	parts.placement.recordEnd(endpoint, 1);
	span.setAttribute('outcome', answer.isOk() ? answer.value.status : answer.error.message);
	span.end();
	if (answer.isOk()) {
		parts.placement.recordSuccess(endpoint, parts.clock());
		return ended(claimed, answer.value);
	}

	parts.placement.recordFailure(endpoint, parts.clock());
	if (!answer.error.sent) {
		return withdrawn(claimed, noEndpointRefusal(call.service.service, 'no'));
	}

	await writeEnd(claimed, {state: 'unknown'});
	return unknownOutcome(parts.clock() >= call.deadline ? 504 : 502);
}

/** Opens a connection to one of the endpoints; nothing is sent, so another one may be tried. */
async function openConnection(call: KeyedCall, parts: CallParts): Promise<Connection | undefined> {
	const failed = new Set<string>();
	for (let attempt = 0; attempt < connectAttempts; attempt += 1) {
		const endpoint = chooseEndpoint(call, parts, failed);
		const remaining = call.deadline - parts.clock();
		if (endpoint === undefined || remaining <= 0) {
			return undefined;
		}

		const socket = await openSingleConnection(endpoint, Math.min(connectMilliseconds, remaining));
		if (socket.isOk()) {
			return {socket: socket.value, endpoint};
		}

		call.span.addEvent('not connected', {endpoint, message: socket.error});
		parts.placement.recordFailure(endpoint, parts.clock());
		failed.add(endpoint);
	}

	return undefined;
}

async function ended(claimed: Claimed, answer: ServiceAnswer): Promise<CallEnd> {
	await writeEnd(claimed, {state: 'ended', answer: storedAnswer(answer)});
	return {kind: 'answered', answer};
}

/** Writes the claim's end; the caller waits for it only a moment. */
async function writeEnd({parts, name, claim}: Claimed, end: ClaimEnd): Promise<void> {
	const written = inBackground(parts, parts.claims.end(name, claim, end));
	await within(endWaitMilliseconds, written);
}

/** Withdraws the claim; run "no" is said only once it is withdrawn. */
async function withdrawn({parts, name, claim}: Claimed, refusal: Refusal): Promise<CallEnd> {
	const withdrawal = inBackground(parts, parts.claims.withdraw(name, claim));
	const settled = await within(withdrawalWaitMilliseconds, withdrawal);
	return {kind: 'refused', refusal: settled === 'withdrawn' ? refusal : {...refusal, run: 'unknown'}};
}

/** Lets a planned stop wait for a write that goes on behind the answer. */
async function inBackground<Value>(parts: CallParts, write: Promise<Value>): Promise<Value> {
	const done = parts.track();
	try {
		return await write;
	} finally {
		done();
	}
}

/** Waits for a promise for a time at most. */
async function within<Value>(milliseconds: number, promise: Promise<Value>): Promise<Value | undefined> {
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

function storeRefusal(run: Refusal['run']): CallEnd {
	return {
		kind: 'refused',
		refusal: {
			status: 503, code: 'store_unavailable', message: 'The table that keeps claims cannot be used, so the call was not sent by this attempt.', run, retryAfterSeconds: comeBackSeconds,
		},
	};
}
