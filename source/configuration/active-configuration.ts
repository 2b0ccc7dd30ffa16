/**
 * The active configuration of a router. Its version never decreases.
 *
 * @module
 */
import {type Configuration} from './configuration.ts';
import {type Service, type Workspace} from './service-file.ts';

/**
 * Holds the highest version received from any source: the platform's table or another router.
 *
 * @example
 * ```ts
 * const active = new ActiveConfiguration();
 * active.applyIfNewer(configuration);
 * active.service('briefs');
 * ```
 */
export class ActiveConfiguration {
	#current: Configuration | undefined;
	#unreadableVersion: number | undefined;
	#services = new Map<string, Service>();
	#workspaces = new Map<string, Workspace>();
	#workspacesByKeyDigest = new Map<string, Workspace>();
	readonly #listeners = new Set<(configuration: Configuration) => void>();

	/** Number of the active version; 0 before the first one. */
	get version(): number {
		return this.#current?.version ?? 0;
	}

	/** The active configuration; `undefined` before the first version. */
	get current(): Configuration | undefined {
		return this.#current;
	}

	/** Whether requests may be served: a version is active, and no newer version is known that this program cannot read. */
	get ready(): boolean {
		return this.#current !== undefined && this.#unreadableVersion === undefined;
	}

	/** Number of a published newer version that this program cannot read. */
	get unreadableVersion(): number | undefined {
		return this.#unreadableVersion;
	}

	/**
	 * Activates a version if it is higher than the active one, and notifies the listeners.
	 *
	 * @param configuration The received version.
	 * @returns Whether it was activated.
	 */
	applyIfNewer(configuration: Configuration): boolean {
		if (configuration.version <= this.version) {
			return false;
		}

		this.#current = configuration;
		if (this.#unreadableVersion !== undefined && this.#unreadableVersion <= configuration.version) {
			this.#unreadableVersion = undefined;
		}

		this.#services = new Map(configuration.services.map(service => [service.service, service]));
		this.#workspaces = new Map(configuration.workspaces.map(workspace => [workspace.workspace, workspace]));
		this.#workspacesByKeyDigest = new Map(configuration.workspaces.flatMap(workspace => workspace.keyDigests.map(digest => [digest, workspace])));
		for (const listener of this.#listeners) {
			listener(configuration);
		}

		return true;
	}

	/** Records that a higher version is published which this program cannot read. */
	markUnreadable(version: number): void {
		if (version > this.version) {
			this.#unreadableVersion = Math.max(version, this.#unreadableVersion ?? 0);
		}
	}

	/**
	 * Records that the head row was read. Clears the unreadable version if the head is not above the active version.
	 *
	 * @param version Version in the head row.
	 */
	markReadable(version: number): void {
		if (version <= this.version) {
			this.#unreadableVersion = undefined;
		}
	}

	/** Returns a service by name. */
	service(name: string): Service | undefined {
		return this.#services.get(name);
	}

	/** Returns a workspace by name. */
	workspace(name: string): Workspace | undefined {
		return this.#workspaces.get(name);
	}

	/** Returns the workspace that a key belongs to, by the key's SHA-256 digest in hexadecimal. */
	workspaceOfKey(digest: string): Workspace | undefined {
		return this.#workspacesByKeyDigest.get(digest);
	}

	/** Adds a listener for each version activated from now on; returns a function that removes it. */
	onChange(listener: (configuration: Configuration) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}
}
