/**
 * Loopback addresses of test fleets.
 *
 * @module
 */
import process from 'node:process';

let taken = 0;

/** A new loopback address of this process. Fleets are spread over the loopback range, so that no two share an address. */
export function takeLoopbackAddress(): string {
	taken += 1;
	const number = (process.pid * 251) + (taken % 251);
	return `127.${1 + (Math.floor(number / 62_500) % 250)}.${Math.floor(number / 250) % 250}.${1 + (number % 250)}`;
}
