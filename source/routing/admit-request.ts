/**
 * Admits or rejects a request by the configuration and its age.
 *
 * @module
 */
import {type Route, type Workspace} from './model.ts';
import {type RouteTable} from './route-table.ts';

/** The known configuration and its age at the time of a request. */
export type ConfigurationSnapshot = {
	/** Newest known version; absent before the first one. */
	table: RouteTable | undefined;
	/** Time since the version was last confirmed as the newest in the store, in milliseconds. */
	ageMilliseconds: number;
};

/** Options of {@linkcode admitRequest}. */
export type AdmitRequestOptions = ConfigurationSnapshot & {
	host: string;
	path: string;
	/** The caller's key; `undefined` if it sent none. */
	key: string | undefined;
	/** Maximum age of the configuration at which keys are accepted, in milliseconds: a key revoked since then must not be served. */
	trustedKeyMilliseconds: number;
	/** Maximum age of the configuration at which a request may be denied, in milliseconds: a newer version could allow it. */
	maximumDenialAgeMilliseconds: number;
};

/** The admission decision on a request. */
export type AdmissionDecision
	= | {kind: 'allowed'; route: Route; workspace: Workspace | undefined}
		| {kind: 'no-configuration'}
		| {kind: 'stale-configuration'}
		| {kind: 'no-route'}
		| {kind: 'unknown-key'};

/**
 * Decides whether a request is allowed.
 *
 * A configuration that is too old proves neither that a key is valid nor that a route or key is missing; such a request gets
 * `stale-configuration`, so that the caller retries it.
 *
 * @param options The request, the configuration snapshot and the age limits.
 * @example
 * ```ts
 * const admission = admitRequest({table, ageMilliseconds: 900, host, path, key, trustedKeyMilliseconds: 4000, maximumDenialAgeMilliseconds: 2000});
 * ```
 */
export function admitRequest(options: AdmitRequestOptions): AdmissionDecision {
	const {table, ageMilliseconds, host, path, key, trustedKeyMilliseconds, maximumDenialAgeMilliseconds} = options;
	if (!table) {
		return {kind: 'no-configuration'};
	}

	const canDeny = ageMilliseconds <= maximumDenialAgeMilliseconds;
	const route = table.findRoute(host, path);
	if (!route) {
		return {kind: canDeny ? 'no-route' : 'stale-configuration'};
	}

	if (!table.requiresKeys || route.anonymous) {
		return {kind: 'allowed', route, workspace: key === undefined ? undefined : table.findWorkspace(key)};
	}

	if (ageMilliseconds > trustedKeyMilliseconds) {
		return {kind: 'stale-configuration'};
	}

	const workspace = key === undefined ? undefined : table.findWorkspace(key);
	if (workspace) {
		return {kind: 'allowed', route, workspace};
	}

	return {kind: canDeny ? 'unknown-key' : 'stale-configuration'};
}
