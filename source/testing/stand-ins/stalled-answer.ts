/**
 * Answers that stall while bytes still come, of a worker stand-in.
 *
 * @module
 */
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

/** What still comes of a stalled answer: comments, one event byte by byte, or empty lines. */
export type StallPart = 'stall-comment' | 'stall-half' | 'stall-line';

/** Whether a fault is an answer that stalls. */
export function isStall(fault: string): fault is StallPart {
	return fault.startsWith('stall-');
}

/** Time between two pieces, in milliseconds. */
const pieceMilliseconds = 100;

const pieces: Record<StallPart, string> = {'stall-comment': ': still here\n\n', 'stall-half': 'x', 'stall-line': '\n'};

/**
 * Sends bytes that complete nothing; settles once the connection has closed.
 *
 * @param part What comes.
 * @param response An answer that has begun.
 */
export async function sendStalled(part: StallPart, response: ServerResponse): Promise<void> {
	if (part === 'stall-half') {
		response.write('id: 999\ndata: ');
	}

	while (!response.destroyed) {
		response.write(pieces[part]);
		await delay(pieceMilliseconds);
	}
}
