/**
 * A proxy before the address at which other gateways reach one, which can cut single processes off.
 */
import {once} from 'node:events';
import {readdirSync, readFileSync, readlinkSync} from 'node:fs';
import {connect, createServer} from 'node:net';

export class PeerLink {
	#listen;
	#target;
	#server;
	#connections = new Set();

	constructor({listen, target}) {
		this.#listen = listen;
		this.#target = target;
	}

	get address() {
		return this.#listen;
	}

	async start() {
		this.#server = createServer(caller => {
			const [host, port] = this.#target.split(':');
			const callee = connect(Number(port), host);
			const connection = {caller, callee, port: caller.remotePort};
			this.#connections.add(connection);
			for (const [from, to] of [[caller, callee], [callee, caller]]) {
				from.setNoDelay(true);
				from.pipe(to);
				from.on('error', () => undefined);
				from.on('close', () => {
					to.destroy();
					this.#connections.delete(connection);
				});
			}
		});
		const [host, port] = this.#listen.split(':');
		this.#server.listen(Number(port), host);
		await once(this.#server, 'listening');
	}

	/** Refuses new connections. Those that are open stay, but for those of some ports, which are reset. */
	cut(isCutOff) {
		this.#server.close();
		for (const {caller, callee, port} of this.#connections) {
			if (isCutOff(port)) {
				caller.resetAndDestroy();
				callee.resetAndDestroy();
			}
		}
	}

	close() {
		this.#server.close();
		for (const {caller, callee} of this.#connections) {
			caller.destroy();
			callee.destroy();
		}
	}
}

/** Local ports of the connections of a process that this script started. */
export function portsOf(pid) {
	const inodes = new Set(readdirSync(`/proc/${pid}/fd`).flatMap(descriptor => {
		try {
			return [/^socket:\[(?<inode>\d+)\]$/v.exec(readlinkSync(`/proc/${pid}/fd/${descriptor}`))?.groups.inode];
		} catch {
			// It has been closed meanwhile.
			return [];
		}
	}));
	const lines = readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1).filter(line => line !== '').map(line => line.trim().split(/\s+/v));
	return new Set(lines.filter(fields => inodes.has(fields[9])).map(fields => Number.parseInt(fields[1].split(':')[1], 16)));
}
