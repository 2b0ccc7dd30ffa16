/**
 * Listens for callers before the rest of the program is evaluated, where the settings ask for it.
 *
 * Imported before everything else. It only glances at the settings: their faults are reported by whoever reads them in full.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {
	findNodeAtLocation, getNodeValue, parseTree, type Node,
} from 'jsonc-parser';
import {decodeFeatures} from '../platform/decode-features.ts';
import {EarlyListener} from '../supervision/early-listener.ts';

/** The listener for callers; absent if the settings do not ask for one, cannot be read, or are only to be checked. */
export const earlyCallers = listenEarly();

function listenEarly(): EarlyListener | undefined {
	const flags = process.argv.slice(2);
	if (flags.includes('--check')) {
		return undefined;
	}

	const file = flags[flags.indexOf('--settings') + 1];
	try {
		const settings = parseTree(readFileSync(flags.includes('--settings') && file !== undefined ? file : process.env.AZURETACK_SETTINGS ?? '', 'utf8'));
		const address = settings && valueAt(settings, ['listen', 'callers']);
		const contracts = settings && valueAt(settings, ['contracts']);
		const asksForIt = Array.isArray(contracts) && decodeFeatures(contracts.map(String)).earlyCallers;
		return asksForIt && typeof address === 'string' ? new EarlyListener(address) : undefined;
	} catch {
		// The full reading of the settings reports what is wrong.
		return undefined;
	}
}

function valueAt(settings: Node, path: string[]): unknown {
	const node = findNodeAtLocation(settings, path);
	return node && getNodeValue(node);
}
