/**
 * Loaded before a gateway of the soak: moves its time of day, or has it use memory, as each line of standard input says.
 *
 * @module
 */
import process from 'node:process';
import {createInterface} from 'node:readline';

const readTimeOfDay = Date.now;
let offset = 0;
Date.now = () => readTimeOfDay() + offset;
const used: Uint8Array[] = [];

/** What a line says, by its first word. */
const orders: Record<string, (amount: number) => void> = {
	jump(milliseconds) {
		offset += milliseconds;
	},
	use(megabytes) {
		used.push(new Uint8Array(megabytes * 1_048_576).fill(1));
	},
};
const lines = createInterface({input: process.stdin});
lines.on('line', line => {
	const [order, amount] = line.split(' ');
	orders[order!]!(Number(amount));
});
lines.on('close', () => {
	// The soak is gone, however it ended; its gateways must not outlive it.
	process.kill(process.pid, 'SIGKILL');
});
// The soak holds standard input open; it must not keep a gateway that has stopped alive.
(process.stdin as unknown as {unref?: () => void}).unref?.();
