/**
 * The program that runs measurements: `measure.js [NAME ...]`, by default all of them.
 *
 * @module
 */
import process from 'node:process';
import {type Measurement} from './measurement.ts';
import {measureNotificationRadius} from './notification-radius.ts';
import {measureOverloadRows} from './overload-rows.ts';
import {measureRecovery} from './recovery.ts';
import {writeResult} from './run-result.ts';
import {measureStart} from './start.ts';
import {measureTokenPath} from './token-path.ts';

const measurements: Record<string, Measurement> = {
	start: measureStart,
	recovery: measureRecovery,
	'token-path': measureTokenPath,
	overload: measureOverloadRows,
	'notification-radius': measureNotificationRadius,
};

const names = process.argv.length > 2 ? process.argv.slice(2) : Object.keys(measurements);
for (const name of names) {
	const measurement = measurements[name];
	if (!measurement) {
		throw new Error(`unknown measurement "${name}"; known: ${Object.keys(measurements).join(', ')}`);
	}

	const rows = await measurement(line => {
		console.log(`${name}: ${line}`);
	});
	const table = rows.map(({
		name: figure, value, baseline, unit, target,
	}) => ({
		figure, value: round(value), baseline: baseline === undefined ? '' : round(baseline), unit, target: target ?? '',
	}));
	console.table(table);
	await writeResult(name, {measuredAt: new Date().toISOString(), rows});
}

function round(value: number): number {
	return Number(value.toPrecision(4));
}
