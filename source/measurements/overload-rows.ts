/**
 * Sets the overload figures with admission on beside those with admission off.
 *
 * @module
 */
import {type Measurement} from './measurement.ts';
import {measureOverload} from './overload.ts';

/** Runs all loads and the outage, with admission on and with admission off as the baseline. */
export const measureOverloadRows: Measurement = async report => {
	const rows = await measureOverload();
	report('all loads and the outage: done');
	return rows.filter(({admission}) => admission).map(row => {
		const baseline = rows.find(other => !other.admission && other.name === row.name && other.load === row.load);
		return {
			name: `${row.name} at ${row.load} times the capacity`, value: row.value, baseline: baseline?.value, unit: row.unit,
		};
	});
};
