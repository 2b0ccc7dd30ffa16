/**
 * One request of a caller and the answer to it.
 *
 * @module
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Route, type Service, type Workspace} from '../routing/mod.ts';
import {type RequestIdentity} from '../suspects/mod.ts';
import {type RequestTerms} from './request-terms.ts';

/** One request that was admitted. */
export type Exchange = {
	request: IncomingMessage;
	response: ServerResponse;
	body: Uint8Array;
	terms: RequestTerms;
	route: Route;
	service: Service;
	workspace: Workspace | undefined;
	/** What stays the same when the caller sends the request again. */
	identity: RequestIdentity;
	/** How a request under which endpoints have ended is sent: `suspected` to one endpoint at a time, `trial` to one endpoint only. */
	care: 'none' | 'suspected' | 'trial';
	/** Name of the request in logs. */
	requestName: string;
	/** Steady time at which the request arrived, in milliseconds. */
	arrivedAt: number;
	/** Steady time by which it needs its final answer, in milliseconds. */
	answerBy: number;
	/** Aborts when the caller's connection has closed. */
	callerGone: AbortSignal;
};

/** How a request ended, for logs and metrics. */
export type ExchangeOutcome = {
	/** Short stable word. */
	outcome: string;
	status: number;
	/** Endpoints that were asked, in order. */
	endpoints: readonly string[];
	/** What the caller of a generation saw of it. */
	generation?: {events: number; firstEventMilliseconds: number | undefined; longestPauseMilliseconds: number};
};
