/**
 * Collects what a process does not use any more.
 *
 * The runtime waits with it until some 100 MB of buffers outside of its heap have come together, which is more than a small host has.
 *
 * @module
 */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {type CollectionKind} from './caller-memory.ts';

type Collector = (options: {type: 'minor' | 'major'}) => void;

const types: Record<CollectionKind, 'minor' | 'major'> = {minor: 'minor', full: 'major'};

let collector: Collector | undefined;

/**
 * Collects garbage now, which stops the process for some milliseconds.
 *
 * @param kind How much.
 */
export function collectGarbage(kind: CollectionKind): void {
	collector ??= findCollector();
	collector({type: types[kind]});
}

function findCollector(): Collector {
	setFlagsFromString('--expose-gc');
	const found: unknown = runInNewContext('gc');
	return isCollector(found) ? found : () => undefined;
}

function isCollector(found: unknown): found is Collector {
	return typeof found === 'function';
}
