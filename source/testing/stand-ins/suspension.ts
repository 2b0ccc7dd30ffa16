/**
 * Suspensions of a stand-in's process.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';

/** Suspends a stand-in for some time, after which it goes on with all that it holds. */
export class Suspension {
	/** Steady time until which the stand-in is suspended, in milliseconds. */
	until = 0;

	/** Starts a suspension, or extends the present one. */
	start(milliseconds: number): void {
		this.until = Math.max(this.until, performance.now() + milliseconds);
	}

	/** Settles once the stand-in is not suspended. */
	async ended(): Promise<void> {
		while (performance.now() < this.until) {
			await delay(this.until - performance.now());
		}
	}
}
