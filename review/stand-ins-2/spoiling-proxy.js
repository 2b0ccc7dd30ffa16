/**
 * A proxy before a worker that answers some of its requests with bytes of its own; all else passes unchanged.
 */
import {once} from 'node:events';
import {connect, createServer} from 'node:net';

/**
 * @param {{listen: string, target: string, spoil: (head: string) => string | undefined}} options `spoil` returns the bytes that take the place of the answer to a request, or nothing where the worker answers.
 */
export async function startSpoilingProxy({listen, target, spoil}) {
	const sockets = new Set();
	const server = createServer(caller => {
		sockets.add(caller);
		caller.on('close', () => {
			sockets.delete(caller);
		});
		caller.on('error', () => undefined);
		let head = '';
		const onData = data => {
			head += data.toString('latin1');
			if (!head.includes('\r\n\r\n')) {
				return;
			}

			caller.off('data', onData);
			const bytes = spoil(head);
			if (bytes !== undefined) {
				caller.write(bytes);
				caller.resume();
				return;
			}

			const [host, port] = target.split(':');
			const worker = connect(Number(port), host);
			worker.on('error', () => {
				caller.destroy();
			});
			caller.on('error', () => {
				worker.destroy();
			});
			worker.write(head, 'latin1');
			caller.pipe(worker);
			worker.pipe(caller);
			// Who waits for an answer sees its connection closed as soon as the other side has gone.
			caller.on('close', () => {
				worker.destroy();
			});
		};

		caller.on('data', onData);
	});
	const [host, port] = listen.split(':');
	server.listen(Number(port), host);
	await once(server, 'listening');
	return {
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}
