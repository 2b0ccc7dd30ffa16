/**
 * Tracks which gateways are alive, as far as this gateway knows.
 *
 * @module
 */
import {type Heartbeat, type Member, type RegisteredMember} from './member.ts';

/** Options of {@linkcode MemberTable}. */
export type MemberTableOptions = {
	/** This gateway. */
	self: RegisteredMember;
	/** Time without a new heartbeat after which a gateway counts as dead, in milliseconds, by the number of known gateways. Default 5,000. */
	heartbeatTimeoutMilliseconds?: (gateways: number) => number;
};

type KnownMember = {
	member: Member;
	/** Steady time at which its heartbeat last increased, in milliseconds; undefined while only its registration is known. */
	updatedAt: number | undefined;
	/** Heartbeat at which it failed to respond to this gateway; undefined if it responded or has a newer heartbeat. */
	unansweredHeartbeat: number | undefined;
};

/** Time without a new heartbeat after which a gateway is removed from the table, in milliseconds. */
const retentionMilliseconds = 60_000;

/**
 * Holds the newest state of each gateway: a later incarnation replaces an earlier one, and a higher heartbeat a lower one.
 *
 * @example
 * ```ts
 * members.merge(message.members, now);
 * const ready = members.live(now).filter(member => member.ready);
 * ```
 */
export class MemberTable {
	readonly #heartbeatTimeoutMilliseconds: (gateways: number) => number;
	readonly #known = new Map<string, KnownMember>();
	#self: Member;

	constructor({self, heartbeatTimeoutMilliseconds = () => 5000}: MemberTableOptions) {
		this.#self = {...self, heartbeat: 0, ready: false};
		this.#heartbeatTimeoutMilliseconds = heartbeatTimeoutMilliseconds;
	}

	/** Record of this gateway. */
	get self(): Member {
		return this.#self;
	}

	/** Number of known gateways, alive or dead, this one included. */
	get size(): number {
		return this.#known.size + 1;
	}

	/** Increments this gateway's heartbeat and sets whether it accepts requests. */
	raiseHeartbeat(ready: boolean): void {
		this.#self = {...this.#self, heartbeat: this.#self.heartbeat + 1, ready};
	}

	/** Adds gateways that are registered in the store; a registration shows that a gateway is alive only if it is a later incarnation of a known one. */
	register(registered: readonly RegisteredMember[], now: number): void {
		for (const member of registered) {
			const known = this.#known.get(member.name);
			if (member.name !== this.#self.name && (!known || known.member.incarnation < member.incarnation)) {
				this.#known.set(member.name, {member: {...member, heartbeat: 0, ready: false}, updatedAt: known ? now : undefined, unansweredHeartbeat: undefined});
			}
		}
	}

	/**
	 * Merges the records that another gateway sent.
	 *
	 * @param members Records of gateways, the sender included.
	 * @param now Steady time, in milliseconds.
	 */
	merge(members: readonly Member[], now: number): void {
		for (const member of members) {
			if (member.name === this.#self.name) {
				continue;
			}

			const known = this.#known.get(member.name);
			if (!known || isNewer(member, known.member)) {
				this.#known.set(member.name, {member, updatedAt: now, unansweredHeartbeat: undefined});
			}
		}

		this.#removeSilent(now);
	}

	/** Returns the state of all live gateways, this one included. */
	heartbeats(now: number): Heartbeat[] {
		return this.live(now).map(({name, incarnation, heartbeat, ready}) => [name, incarnation, heartbeat, ready]);
	}

	/**
	 * Merges heartbeats of incarnations that are known already; {@linkcode MemberTable.merge} adds the records of others.
	 *
	 * @param heartbeats State of the gateways that another gateway considers alive.
	 * @param now Steady time, in milliseconds.
	 */
	mergeHeartbeats(heartbeats: readonly Heartbeat[], now: number): void {
		for (const [name, incarnation, heartbeat, ready] of heartbeats) {
			const known = this.#known.get(name);
			if (known?.member.incarnation === incarnation && heartbeat > known.member.heartbeat) {
				this.#known.set(name, {member: {...known.member, heartbeat, ready}, updatedAt: now, unansweredHeartbeat: undefined});
			}
		}
	}

	/** Returns the live gateways whose current incarnation is missing from the heartbeats of another gateway. */
	unknownTo(heartbeats: readonly Heartbeat[], now: number): Member[] {
		const incarnations = new Map(heartbeats.map(([name, incarnation]) => [name, incarnation]));
		return this.live(now).filter(({name, incarnation}) => name !== this.#self.name && incarnation > (incarnations.get(name) ?? -1));
	}

	/** Records that a gateway did not respond: it counts as dead until its heartbeat increases. */
	markUnreachable(name: string): void {
		const known = this.#known.get(name);
		if (known) {
			known.unansweredHeartbeat = known.member.heartbeat;
		}
	}

	/** Returns this gateway, followed by all others with a recent heartbeat. */
	live(now: number): Member[] {
		const timeoutMilliseconds = this.#heartbeatTimeoutMilliseconds(this.size);
		const others = [...this.#known.values()]
			.filter(({updatedAt, unansweredHeartbeat}) => updatedAt !== undefined && unansweredHeartbeat === undefined && now - updatedAt < timeoutMilliseconds)
			.map(({member}) => member);
		return [this.#self, ...others];
	}

	/** Returns all other known gateways, alive or dead. */
	others(): Member[] {
		return [...this.#known.values()].map(({member}) => member);
	}

	#removeSilent(now: number): void {
		for (const [name, {updatedAt}] of this.#known) {
			if (updatedAt !== undefined && now - updatedAt > retentionMilliseconds) {
				this.#known.delete(name);
			}
		}
	}
}

function isNewer(member: Member, known: Member): boolean {
	return member.incarnation === known.incarnation ? member.heartbeat > known.heartbeat : member.incarnation > known.incarnation;
}
