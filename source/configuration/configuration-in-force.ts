/**
 * The configuration that a router acts on; it never moves to a lower version.
 *
 * @module
 */
import {type Configuration} from './configuration.ts';
import {type Service, type Workspace} from './service-file.ts';

/**
 * Holds the newest version seen, from whichever source offered it.
 *
 * @example
 * ```ts
 * const inForce = new ConfigurationInForce();
 * inForce.offer(configuration);
 * inForce.service('briefs');
 * ```
 */
export class ConfigurationInForce {
	#current: Configuration | undefined;
	#unreadableVersion: number | undefined;
	#services = new Map<string, Service>();
	#workspaces = new Map<string, Workspace>();
	#workspacesByKeyDigest = new Map<string, Workspace>();
	readonly #listeners = new Set<(configuration: Configuration) => void>();

	/** The version in force; 0 before the first one. */
	get version(): number {
		return this.#current?.version ?? 0;
	}

	/** The whole configuration in force. */
	get current(): Configuration | undefined {
		return this.#current;
	}

	/** Whether callers may be served: a version is in force and no newer one is known that cannot be read. */
	get ready(): boolean {
		return this.#current !== undefined && this.#unreadableVersion === undefined;
	}

	/** A newer version in force elsewhere that this program cannot read. */
	get unreadableVersion(): number | undefined {
		return this.#unreadableVersion;
	}

	/**
	 * Takes a version if it is higher than the one in force.
	 *
	 * @param configuration The version offered.
	 * @returns Whether it was taken.
	 */
	offer(configuration: Configuration): boolean {
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

	/** Records that a higher version is in force which this program cannot read. */
	markUnreadable(version: number): void {
		if (version > this.version) {
			this.#unreadableVersion = Math.max(version, this.#unreadableVersion ?? 0);
		}
	}

	/**
	 * Records that the table can be read and names no version above the one in force.
	 *
	 * @param version Version that the table names.
	 */
	markReadable(version: number): void {
		if (version <= this.version) {
			this.#unreadableVersion = undefined;
		}
	}

	/** Finds a service by name. */
	service(name: string): Service | undefined {
		return this.#services.get(name);
	}

	/** Finds a workspace by name. */
	workspace(name: string): Workspace | undefined {
		return this.#workspaces.get(name);
	}

	/** Finds the workspace that a key admits to, by the key's SHA-256 digest in hexadecimal. */
	workspaceOfKey(digest: string): Workspace | undefined {
		return this.#workspacesByKeyDigest.get(digest);
	}

	/** Calls back with each version taken from now on; returns a function that stops it. */
	onChange(listener: (configuration: Configuration) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}
}
