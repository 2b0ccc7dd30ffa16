/**
 * Memory of a gateway's process, in tests.
 *
 * @module
 */
import {readdir, readFile} from 'node:fs/promises';

/** Memory of the smallest host, in megabytes. */
export const smallestHostMegabytes = 186;

/** Limits of the process's memory, as `deploy/system.toml` sets them. */
export const memoryFlags = ['--max-old-space-size=96', '--max-semi-space-size=4'];

/**
 * The most memory that a process has had, in megabytes.
 *
 * @param pid Its id.
 * @returns `undefined` where it has ended meanwhile.
 */
export async function peakMegabytes(pid: number): Promise<number | undefined> {
	try {
		const status = await readFile(`/proc/${pid}/status`, 'utf8');
		const kilobytes = /^VmHWM:\s+(?<kilobytes>\d+) kB/mv.exec(status)?.groups?.kilobytes;
		return kilobytes === undefined ? undefined : Number(kilobytes) / 1024;
	} catch {
		// The process has ended between the look whether it runs and this one.
		return undefined;
	}
}

/** Returns the number of descriptors that a process has open; `undefined` where it has ended. */
export async function openDescriptors(pid: number): Promise<number | undefined> {
	try {
		const descriptors = await readdir(`/proc/${pid}/fd`);
		return descriptors.length;
	} catch {
		// The process has ended.
		return undefined;
	}
}

/**
 * Returns a command that runs another one with a limit on its descriptors: a shell lowers the limit of its own process and becomes that command,
 * which keeps its id.
 *
 * @param command The command.
 * @param descriptors Descriptors that it may have; `undefined` for those of this process.
 */
export function limitDescriptors(command: readonly string[], descriptors: number | undefined): readonly string[] {
	return descriptors === undefined ? command : ['/bin/sh', '-c', `ulimit -n ${descriptors} && exec "$@"`, 'sh', ...command];
}
