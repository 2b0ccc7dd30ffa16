/**
 * Decides whether a request is allowed, from the configuration and how old it may be.
 *
 * @module
 */
import {type Route, type Workspace} from './model.ts';
import {type RouteTable} from './route-table.ts';

/** What is known of the configuration at the moment of a request. */
export type ConfigurationKnowledge = {
	/** Newest version known; absent before the first one. */
	table: RouteTable | undefined;
	/** Time since the store was last known to hold nothing newer, in milliseconds. */
	ageMilliseconds: number;
};

/** Options of {@linkcode admitRequest}. */
export type AdmitRequestOptions = ConfigurationKnowledge & {
	host: string;
	path: string;
	/** The caller's key; absent where it sent none. */
	key: string | undefined;
	/** Age up to which a key may be trusted, in milliseconds: a key that was taken away later must not be served. */
	trustedKeyMilliseconds: number;
	/** Age up to which a request may be denied, in milliseconds: a later change could allow it. */
	deniesWithinMilliseconds: number;
};

/** Whether a request is allowed. */
export type Admission
	= | {kind: 'allowed'; route: Route; workspace: Workspace | undefined}
		| {kind: 'no-configuration'}
		| {kind: 'stale-configuration'}
		| {kind: 'no-route'}
		| {kind: 'unknown-key'};

/**
 * Decides whether a request is allowed.
 *
 * A configuration that is too old proves neither that a key is valid nor that a route or key is missing; such requests are told to come
 * back.
 *
 * @param options Request and knowledge.
 * @example
 * ```ts
 * const admission = admitRequest({table, ageMilliseconds: 900, host, path, key, trustedKeyMilliseconds: 4000});
 * ```
 */
export function admitRequest(options: AdmitRequestOptions): Admission {
	const {table, ageMilliseconds, host, path, key, trustedKeyMilliseconds, deniesWithinMilliseconds} = options;
	if (!table) {
		return {kind: 'no-configuration'};
	}

	const mayDeny = ageMilliseconds <= deniesWithinMilliseconds;
	const route = table.routeOf(host, path);
	if (!route) {
		return {kind: mayDeny ? 'no-route' : 'stale-configuration'};
	}

	if (!table.asksForKeys || route.anonymous) {
		return {kind: 'allowed', route, workspace: key === undefined ? undefined : table.workspaceOf(key)};
	}

	if (ageMilliseconds > trustedKeyMilliseconds) {
		return {kind: 'stale-configuration'};
	}

	const workspace = key === undefined ? undefined : table.workspaceOf(key);
	if (workspace) {
		return {kind: 'allowed', route, workspace};
	}

	return {kind: mayDeny ? 'unknown-key' : 'stale-configuration'};
}
