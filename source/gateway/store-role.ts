/**
 * Decides whether a gateway follows the store itself or receives updates from another gateway.
 *
 * @module
 */
import {
	exchangePeriod, followsStore, isReader, type SharedState,
} from '../fleet/mod.ts';
import {type GatewayParts} from './gateway-parts.ts';

/** Exchange periods after which a new gateway knows nearly all others. */
const settlingExchanges = 2;

/**
 * The role of a gateway towards the store; each change is logged.
 *
 * A gateway that received its initial state from another one does not follow the store until it has had time to discover the others.
 * Without this delay it would consider itself the reader of its zone, and so would each of hundreds of gateways that start together.
 *
 * @example
 * ```ts
 * const role = new StoreRole(parts, sharedState);
 * role.start(receivedState);
 * if (role.followsStore()) { … }
 * ```
 */
export class StoreRole {
	readonly #parts: GatewayParts;
	readonly #sharedState: SharedState;
	/** Start of the wait for other gateways to be discovered, in milliseconds; absent until the role starts. */
	#settlingSince: number | undefined;
	#lastFollows: boolean | undefined;

	constructor(parts: GatewayParts, sharedState: SharedState) {
		this.#parts = parts;
		this.#sharedState = sharedState;
	}

	/**
	 * Starts the role after the seeds were queried.
	 *
	 * @param receivedState Whether one of them sent its state.
	 */
	start(receivedState: boolean): void {
		this.#settlingSince = receivedState ? this.#parts.clock() : Number.NEGATIVE_INFINITY;
	}

	/** Whether this gateway follows the store now, as the reader of its zone or because updates from others are late. */
	followsStore(): boolean {
		const {members, logger, clock, readClock, updateTimes} = this.#parts;
		if (this.#settlingSince === undefined) {
			return false;
		}

		const ageMilliseconds = this.#sharedState.age(readClock());
		const live = members.live(clock());
		const follows = followsStore({
			self: members.self, members: live, membershipSettled: this.#isSettled(), ageMilliseconds, storeFallbackMilliseconds: updateTimes.storeFallbackMilliseconds,
		});
		if (follows !== this.#lastFollows) {
			this.#lastFollows = follows;
			logger.info(follows ? 'gateway follows the store' : 'gateway receives updates from another gateway', {ageMilliseconds: Math.round(ageMilliseconds), live: live.length});
		}

		return follows;
	}

	/** Whether this gateway should be registered in the store for others to discover: it is the reader of its zone, or knows no other gateway. */
	shouldBeRegistered(): boolean {
		const {members, clock} = this.#parts;
		const live = members.live(clock());
		return this.#isSettled() && (live.length === 1 || isReader(members.self, live));
	}

	#isSettled(): boolean {
		const {members, clock} = this.#parts;
		return this.#settlingSince !== undefined && clock() - this.#settlingSince >= settlingExchanges * exchangePeriod(members.size);
	}
}
