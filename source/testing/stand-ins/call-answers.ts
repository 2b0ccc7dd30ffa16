/**
 * Answers to plain calls, sound and faulty, of a worker stand-in.
 *
 * @module
 */
import {type ServerResponse} from 'node:http';
import {type EndlessPart} from './endless-answer.ts';
import {sendStalled, type StallPart} from './stalled-answer.ts';
import {type WorkerFault} from './worker-options.ts';

/** Time from the first bytes of an answer to its breaking off, in milliseconds. */
const breakMilliseconds = 5;

type CallAnswer = {headers: Record<string, string>; body: string};

function stallAfterHead(part: StallPart): Answer {
	return (response, {headers}) => {
		response.writeHead(200, headers);
		void sendStalled(part, response);
	};
}

type Answer = (response: ServerResponse, answer: CallAnswer) => void;

function answerWhole(response: ServerResponse, {headers, body}: CallAnswer): void {
	response.writeHead(200, {...headers, 'content-length': body.length}).end(body);
}

const answers: Record<Exclude<WorkerFault, EndlessPart>, Answer> = {
	none: answerWhole,
	slow: answerWhole,
	repeat: answerWhole,
	'other-id': answerWhole,
	full: () => undefined,
	mute: () => undefined,
	'stall-comment': stallAfterHead('stall-comment'),
	'stall-half': stallAfterHead('stall-half'),
	'stall-line': stallAfterHead('stall-line'),
	error(response, {headers, body}) {
		response.writeHead(500, headers).end(body);
	},
	break(response, {headers, body}) {
		response.writeHead(200, {...headers, 'content-length': body.length}).write(body.slice(0, 3));
		setTimeout(() => {
			response.destroy();
		}, breakMilliseconds);
	},
	reset(response) {
		response.socket?.resetAndDestroy();
	},
	garble(response) {
		response.socket?.end('no answer in HTTP\r\n\r\n');
	},
	extra(response, answer) {
		answerWhole(response, answer);
		response.socket?.write(`HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Azuretack-Attempt-Id: ${answer.headers['x-azuretack-attempt-id']}\r\n\r\nextra`);
	},
};

/**
 * Answers a plain call.
 *
 * @param fault What is wrong with the answer.
 * @param response The answer.
 * @param answer Its headers and body.
 */
export function answerCall(fault: Exclude<WorkerFault, EndlessPart>, response: ServerResponse, answer: CallAnswer): void {
	answers[fault](response, answer);
}
