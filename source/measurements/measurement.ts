/**
 * What every measurement exports.
 *
 * @module
 */

/** One measured figure. */
export type MeasurementRow = {
	name: string;
	value: number;
	unit: string;
	/** The same figure of the named baseline, in the same run. */
	baseline?: number;
	/** The stated target in words. */
	target?: string;
};

/** Runs a measurement; `report` receives lines on its progress. */
export type Measurement = (report: (line: string) => void) => Promise<MeasurementRow[]>;
