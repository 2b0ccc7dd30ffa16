/**
 * Answers that never end, of a worker stand-in.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type Writable} from 'node:stream';
import {setTimeout as delay} from 'node:timers/promises';

/** What never ends: the body of a success, that of a failure, or the head. */
export type EndlessPart = 'endless-body' | 'endless-failure' | 'endless-head';

/** Whether a fault is an answer that never ends. */
export function isEndless(fault: string): fault is EndlessPart {
	return fault.startsWith('endless-');
}

/** Bytes written at once. */
const pieceBytes = 16_384;

/** Time between two pieces, in milliseconds, so that many such answers do not keep the test from its other work. */
const pieceMilliseconds = 20;

/**
 * Begins an answer and never ends it; settles once its connection has closed.
 *
 * @param part What never ends.
 * @param response The answer.
 * @param headers Headers that each answer has.
 */
export async function sendEndless(part: EndlessPart, response: ServerResponse, headers: Record<string, string>): Promise<void> {
	const begin: Record<EndlessPart, () => Writable> = {
		'endless-body': () => response.writeHead(200, headers),
		'endless-failure': () => response.writeHead(500, headers),
		'endless-head'() {
			response.socket!.write('HTTP/1.1 200 OK\r\nX-Endless: ');
			return response.socket!;
		},
	};
	await writeEndlessly(begin[part]());
}

async function writeEndlessly(target: Writable): Promise<void> {
	const piece = Buffer.alloc(pieceBytes, 'x');
	while (!target.destroyed) {
		if (!target.writableNeedDrain) {
			target.write(piece);
		}

		await delay(pieceMilliseconds);
	}
}
