/**
 * Reads the settings of the gateway daemon and runs the gateway until it receives a stop signal.
 *
 * @module
 */
import process from 'node:process';
import {isDeepStrictEqual} from 'node:util';
import {startGateway} from '../gateway/mod.ts';
import {gatewaySettingsSchema} from '../settings/gateway-settings.ts';
import {loadSettings} from '../settings/load-settings.ts';
import {formatFault, readDocument} from '../settings/read-document.ts';
import {type EarlyListener} from '../supervision/early-listener.ts';
import {LineWriter} from '../telemetry/line-writer.ts';
import {createLogger} from '../telemetry/logger.ts';
import {onSettingsSignal} from './_settings-signal.ts';
import {readGatewayArguments} from './_gateway-arguments.ts';

/** Options of {@linkcode runGateway}. */
export type RunGatewayOptions = {
	/** Accepts connections from callers already; absent if the settings do not ask for that. */
	earlyCallers: EarlyListener | undefined;
	/** Ends the process. */
	exit: (code: number) => void;
};

/**
 * Runs the gateway until it receives a stop signal.
 *
 * @param options Listener and end of the process.
 */
export async function runGateway({earlyCallers, exit}: RunGatewayOptions): Promise<void> {
	const flags = await readGatewayArguments();
	const loaded = await loadSettings(flags, gatewaySettingsSchema);
	if (loaded.isErr()) {
		exit(loaded.error);
		return;
	}

	const settings = loaded.value;

	const writer = new LineWriter();
	const logger = createLogger('gateway', {
		level: settings.log.level,
		fields: {host: settings.hostName},
		write(line) {
			writer.write(line);
		},
	});
	const starting = startGateway(settings, logger, earlyCallers);
	const onSignal = async () => {
		const gateway = await starting;
		await gateway.stop();
		writer.end();
		exit(0);
	};

	const onSettingsChanged = async () => {
		const changed = await readDocument(flags.settings, gatewaySettingsSchema);
		if (changed.isErr()) {
			logger.error('settings have faults and stay as they are', {faults: changed.error.map(fault => formatFault(fault))});
			return;
		}

		// The file contains only addresses and bounds, which are applied at the next start; a reload only checks them.
		logger.info('settings read again', {changed: !isDeepStrictEqual(changed.value, settings)});
	};

	// Before callers are accepted, a signal ends the process at once; requests that are held must get an answer.
	if (!earlyCallers) {
		await starting;
	}

	for (const signal of ['SIGTERM', 'SIGINT']) {
		process.on(signal, () => {
			void onSignal();
		});
	}

	await starting;
	onSettingsSignal(() => {
		void onSettingsChanged();
	});
}
