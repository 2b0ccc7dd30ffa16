/**
 * Loaded before a gateway of the soak: moves the time of day by the milliseconds that each line of standard input says.
 *
 * @module
 */
import process from 'node:process';
import {createInterface} from 'node:readline';

const readTimeOfDay = Date.now;
let offset = 0;
Date.now = () => readTimeOfDay() + offset;
const lines = createInterface({input: process.stdin});
lines.on('line', line => {
	offset += Number(line);
});
lines.on('close', () => {
	// The soak is gone, however it ended; its gateways must not outlive it.
	process.kill(process.pid, 'SIGKILL');
});
// The soak holds standard input open; it must not keep a gateway that has stopped alive.
(process.stdin as unknown as {unref?: () => void}).unref?.();
