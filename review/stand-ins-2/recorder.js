/**
 * Writes what was sent, answered and run to `record.txt` in the folder of a case.
 */
import {appendFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';

export class Recorder {
	#file;
	#startedAt = performance.now();

	constructor(folder) {
		this.#file = path.join(folder, 'record.txt');
		writeFileSync(this.#file, '');
	}

	write(text) {
		appendFileSync(this.#file, `${((performance.now() - this.#startedAt) / 1000).toFixed(3).padStart(8)} ${text}\n`);
	}
}
