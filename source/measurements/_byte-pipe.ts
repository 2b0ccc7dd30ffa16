/**
 * A program that passes bytes between pairs of ports: `byte-pipe.js LISTEN TARGET [LISTEN TARGET ...]`.
 *
 * @module
 */
import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import process from 'node:process';

const addresses = process.argv.slice(2);
for (let index = 0; index < addresses.length; index += 2) {
	await startPipe(new URL(`http://${addresses[index]!}`), new URL(`http://${addresses[index + 1]!}`));
}

console.log('ready');

async function startPipe(from: URL, to: URL): Promise<void> {
	const server = createServer({noDelay: true}, socket => {
		const further = connect({port: Number(to.port), host: to.hostname, noDelay: true});
		socket.pipe(further);
		further.pipe(socket);
		for (const end of [socket, further]) {
			end.on('error', () => {
				socket.destroy();
				further.destroy();
			});
		}
	});
	server.listen(Number(from.port), from.hostname);
	await once(server, 'listening');
}
