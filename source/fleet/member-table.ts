/**
 * Which gateways live, as far as this one knows.
 *
 * @module
 */
import {type Heartbeat, type Member, type RegisteredMember} from './member.ts';

/** Options of {@linkcode MemberTable}. */
export type MemberTableOptions = {
	/** This gateway. */
	self: RegisteredMember;
	/** Time without news of a gateway after which it counts as gone, in milliseconds, by the number of gateways. Default 5,000. */
	silentMilliseconds?: (gateways: number) => number;
};

type Known = {
	member: Member;
	/** Steady time at which its heartbeat last rose; absent while only its registration is known. */
	heardAt: number | undefined;
	/** Heartbeat at which it did not answer this gateway. */
	unansweredAt: number | undefined;
};

/** Time after which a silent gateway is forgotten, in milliseconds. */
const forgetMilliseconds = 60_000;

/**
 * Keeps the newest state of each gateway: a later process of a host replaces an earlier one, and a higher heartbeat a lower one.
 *
 * @example
 * ```ts
 * members.merge(message.members, now);
 * const entries = members.live(now).filter(member => member.ready);
 * ```
 */
export class MemberTable {
	readonly #silentMilliseconds: (gateways: number) => number;
	readonly #known = new Map<string, Known>();
	#self: Member;

	constructor({self, silentMilliseconds = () => 5000}: MemberTableOptions) {
		this.#self = {...self, heartbeat: 0, ready: false};
		this.#silentMilliseconds = silentMilliseconds;
	}

	/** This gateway. */
	get self(): Member {
		return this.#self;
	}

	/** Gateways known, this one included, whether they live or not. */
	get size(): number {
		return this.#known.size + 1;
	}

	/** Raises this gateway's heartbeat. */
	beat(ready: boolean): void {
		this.#self = {...this.#self, heartbeat: this.#self.heartbeat + 1, ready};
	}

	/** Takes gateways that are registered in the store, which says nothing of whether they live. */
	register(registered: readonly RegisteredMember[], now: number): void {
		for (const member of registered) {
			const known = this.#known.get(member.name);
			if (member.name !== this.#self.name && (!known || known.member.incarnation < member.incarnation)) {
				this.#known.set(member.name, {member: {...member, heartbeat: 0, ready: false}, heardAt: known ? now : undefined, unansweredAt: undefined});
			}
		}
	}

	/**
	 * Takes what another gateway knows.
	 *
	 * @param members Gateways, the other one included.
	 * @param now Steady time, in milliseconds.
	 */
	merge(members: readonly Member[], now: number): void {
		for (const member of members) {
			if (member.name === this.#self.name) {
				continue;
			}

			const known = this.#known.get(member.name);
			if (!known || isNewer(member, known.member)) {
				this.#known.set(member.name, {member, heardAt: now, unansweredAt: undefined});
			}
		}

		this.#forget(now);
	}

	/** State of all gateways that live, this one included. */
	heartbeats(now: number): Heartbeat[] {
		return this.live(now).map(({name, incarnation, heartbeat, ready}) => [name, incarnation, heartbeat, ready]);
	}

	/**
	 * Takes the state of gateways that are known by this or an earlier process; others are left for {@linkcode MemberTable.merge}.
	 *
	 * @param heartbeats What another gateway takes to be alive.
	 * @param now Steady time, in milliseconds.
	 */
	hear(heartbeats: readonly Heartbeat[], now: number): void {
		for (const [name, incarnation, heartbeat, ready] of heartbeats) {
			const known = this.#known.get(name);
			if (known?.member.incarnation === incarnation && heartbeat > known.member.heartbeat) {
				this.#known.set(name, {member: {...known.member, heartbeat, ready}, heardAt: now, unansweredAt: undefined});
			}
		}
	}

	/** Gateways that live and that another one does not know by their present process. */
	unknownTo(heartbeats: readonly Heartbeat[], now: number): Member[] {
		const incarnations = new Map(heartbeats.map(([name, incarnation]) => [name, incarnation]));
		return this.live(now).filter(({name, incarnation}) => name !== this.#self.name && incarnation > (incarnations.get(name) ?? -1));
	}

	/** Records that a gateway did not answer: it counts as gone until its heartbeat rises. */
	unanswered(name: string): void {
		const known = this.#known.get(name);
		if (known) {
			known.unansweredAt = known.member.heartbeat;
		}
	}

	/** This gateway and all others that were heard of lately. */
	live(now: number): Member[] {
		const silent = this.#silentMilliseconds(this.size);
		const others = [...this.#known.values()]
			.filter(({heardAt, unansweredAt}) => heardAt !== undefined && unansweredAt === undefined && now - heardAt < silent)
			.map(({member}) => member);
		return [this.#self, ...others];
	}

	/** All other gateways that are not forgotten, whether they live or not. */
	others(): Member[] {
		return [...this.#known.values()].map(({member}) => member);
	}

	#forget(now: number): void {
		for (const [name, {heardAt}] of this.#known) {
			if (heardAt !== undefined && now - heardAt > forgetMilliseconds) {
				this.#known.delete(name);
			}
		}
	}
}

function isNewer(member: Member, known: Member): boolean {
	return member.incarnation === known.incarnation ? member.heartbeat > known.heartbeat : member.incarnation > known.incarnation;
}
