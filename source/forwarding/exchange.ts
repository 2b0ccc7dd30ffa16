/**
 * A caller's request together with its response and routing data.
 *
 * @module
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Route, type Service, type Workspace} from '../routing/mod.ts';
import {type VersionTicket} from '../rollouts/mod.ts';
import {type RequestIdentity, type SuspectAdmission} from '../suspects/mod.ts';
import {type ErrorResponse} from './caller-response.ts';
import {type RequestTerms} from './request-terms.ts';

/** An admitted request and its context. */
export type Exchange = {
	request: IncomingMessage;
	response: ServerResponse;
	body: Uint8Array;
	terms: RequestTerms;
	route: Route;
	service: Service;
	workspace: Workspace | undefined;
	/** Priority of the workspace, or of the route if the workspace has none; 0 is the highest. */
	importance: number;
	/** Priority at an engine, from 0, the highest, to 9; `undefined` if all requests to the service rank the same. */
	enginePriority: number | undefined;
	/** Versions of the service that the request may be sent to; absent where the deployment has no roll-outs. */
	versions?: VersionTicket;
	/** Identity of the request's content; it is the same when the caller sends the request again. */
	identity: RequestIdentity;
	/** Restrictions on a request during which endpoints have crashed: `suspected` is sent to one endpoint at a time, `trial` to one endpoint only. */
	handling: RequestHandling;
	/** Identifier of the request in logs. */
	requestName: string;
	/** Monotonic time at which the request arrived, in milliseconds. */
	arrivedAt: number;
	/** Monotonic time by which the caller needs the final response, in milliseconds. */
	deadline: number;
	/** Aborts when the caller's connection closes, with the reason for it: who closed it, and why. */
	callerDisconnected: AbortSignal;
	/** Resolves once the response is delivered or the connection has closed; a response that waits behind another one does not itself learn of the latter. */
	delivered: Promise<void>;
};

/** Restrictions on a request that may crash endpoints. */
export type RequestHandling = 'none' | 'suspected' | 'trial';

const handlingByAdmission: Record<Exclude<SuspectAdmission['kind'], 'refused'>, RequestHandling> = {free: 'none', suspected: 'suspected', trial: 'trial'};

/** Returns the restrictions on an admitted request. */
export function handlingOf({kind}: Exclude<SuspectAdmission, {kind: 'refused'}>): RequestHandling {
	return handlingByAdmission[kind];
}

/** Response to a request that is refused since requests like it crash endpoints. */
export const crashesEndpoints: ErrorResponse = {
	status: 503, code: 'ends_endpoints', message: 'Endpoints ended each time they ran this request, or one with the same part in its prompt, and it is not sent to another one for now.',
};

/** How a request ended, for logs and metrics. */
export type ExchangeOutcome = {
	/** Short, stable outcome code. */
	outcome: string;
	status: number;
	/** Ids of the endpoints that the request was sent to, in order. */
	endpoints: readonly string[];
	/** Events of a generation that the caller received, and their timing. */
	generation?: {events: number; firstEventMilliseconds: number | undefined; longestPauseMilliseconds: number};
};
