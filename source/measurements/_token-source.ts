/**
 * A program that speaks the engines' protocol and stamps each token with the time of its sending: `token-source.js LISTEN STEP`.
 *
 * @module
 */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {type EngineRequest} from '../endpoints/mod.ts';

const [listen = '', step = '50'] = process.argv.slice(2);
const {hostname, port} = new URL(`http://${listen}`);

const server = createServer((request, response) => {
	void serve(request, response);
});
server.listen(Number(port), hostname, () => {
	console.log('ready');
});

async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
	if (request.url !== '/v1/completions') {
		response.writeHead(404).end();
		return;
	}

	const {max_tokens: total} = JSON.parse(await text(request)) as EngineRequest;
	response.writeHead(200, {'content-type': 'text/event-stream'});
	response.write(`data: ${JSON.stringify({
		event: 'started', state: 'running', prefill_tokens: 0, cached_tokens: 0,
	})}\n\n`);
	let index = 0;
	const timer = setInterval(() => {
		response.write(`data: ${JSON.stringify({event: 'token', index, text: `${process.hrtime.bigint()} `})}\n\n`);
		index += 1;
		if (index === total) {
			clearInterval(timer);
			response.end(`data: ${JSON.stringify({event: 'finished', finish_reason: 'length', total_tokens: total})}\n\n`);
		}
	}, Number(step));
	response.on('close', () => {
		clearInterval(timer);
	});
}
