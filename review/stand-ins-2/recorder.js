/**
 * Writes what was sent, answered and run to the `record.txt` of a case.
 */
import {appendFileSync, writeFileSync} from 'node:fs';

export class Recorder {
	#file;
	#startedAt = performance.now();

	constructor(file) {
		this.#file = file;
		writeFileSync(this.#file, '');
	}

	write(text) {
		appendFileSync(this.#file, `${((performance.now() - this.#startedAt) / 1000).toFixed(3).padStart(8)} ${text}\n`);
	}
}
