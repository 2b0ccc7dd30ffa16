/**
 * Whether this gateway follows the store, and since when it can tell.
 *
 * @module
 */
import {
	exchangePeriod, followsStore, isReader, type SharedState,
} from '../fleet/mod.ts';
import {type GatewayParts} from './gateway-parts.ts';

/** Exchanges after which a new gateway has heard of nearly all others. */
const settlingExchanges = 2;

/**
 * The role of a gateway; each change is logged.
 *
 * A gateway that has learnt from another one at its start does not follow the store until it has had time to hear of all others: until
 * then it would take itself for the reader of its zone, as would each of hundreds that start at once.
 *
 * @example
 * ```ts
 * const role = new StoreRole(parts, knowledge);
 * role.begin(learnt);
 * if (role.follows()) { … }
 * ```
 */
export class StoreRole {
	readonly #parts: GatewayParts;
	readonly #knowledge: SharedState;
	/** Time from which the wait for others counts; absent until the role begins. */
	#waitsSince: number | undefined;
	#followed: boolean | undefined;

	constructor(parts: GatewayParts, knowledge: SharedState) {
		this.#parts = parts;
		this.#knowledge = knowledge;
	}

	/**
	 * Begins once seeds were asked.
	 *
	 * @param learnt Whether one of them told what it knows.
	 */
	begin(learnt: boolean): void {
		this.#waitsSince = learnt ? this.#parts.clock() : Number.NEGATIVE_INFINITY;
	}

	/** Whether this gateway follows the store now, as its zone's reader or for lack of news. */
	follows(): boolean {
		const {members, logger, clock, readClock, newsTimes} = this.#parts;
		if (this.#waitsSince === undefined) {
			return false;
		}

		const ageMilliseconds = this.#knowledge.age(readClock());
		const live = members.live(clock());
		const follows = followsStore({
			self: members.self, members: live, membershipSettled: this.#isSettled(), ageMilliseconds, storeFallbackMilliseconds: newsTimes.storeFallbackMilliseconds,
		});
		if (follows !== this.#followed) {
			this.#followed = follows;
			logger.info(follows ? 'gateway follows the store' : 'gateway learns from another one', {ageMilliseconds: Math.round(ageMilliseconds), live: live.length});
		}

		return follows;
	}

	/** Whether others should find this gateway in the store: it is its zone's reader, or knows no other. */
	shouldBeFound(): boolean {
		const {members, clock} = this.#parts;
		const live = members.live(clock());
		return this.#isSettled() && (live.length === 1 || isReader(members.self, live));
	}

	#isSettled(): boolean {
		const {members, clock} = this.#parts;
		return this.#waitsSince !== undefined && clock() - this.#waitsSince >= settlingExchanges * exchangePeriod(members.size);
	}
}
