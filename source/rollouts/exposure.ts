/**
 * Limits how many requests one gateway sends to a version under trial.
 *
 * @module
 */

/**
 * Share of the allowed exposure that gateways use. Each starts at a random point between two requests of its trial, so that all of them
 * together send the share on average, whatever their number; the rest of the share and of the slack is for the deviation.
 */
export const usedShare = 0.7;

/** Share of the slack that is granted to single gateways at the start of a trial, so that a service with few requests is tried as well. */
export const grantedShare = 0.4;

/**
 * Exposure of one gateway to one order's version. Each request to the service earns a share of one to the new version.
 *
 * @example
 * ```ts
 * const isTrial = exposure.draw();
 * exposure.earn(0.07);
 * ```
 */
export class Exposure {
	#credit: number;

	/**
	 * @param start Random number from 0 to 1.
	 * @param granted Requests beyond the share.
	 */
	constructor(start: number, granted = 0) {
		this.#credit = start + granted;
	}

	/** Earns the share of one request that was sent to the service. */
	earn(share: number): void {
		this.#credit += share;
	}

	/** Takes one request to the new version, if allowed. */
	draw(): boolean {
		if (this.#credit < 1) {
			return false;
		}

		this.#credit -= 1;
		return true;
	}

	/** Counts a request to the new version that was not drawn, such as a generation that goes on there. */
	charge(): void {
		this.#credit -= 1;
	}

	/** Gives back a drawn request that was not sent to the new version. */
	refund(): void {
		this.#credit += 1;
	}
}
