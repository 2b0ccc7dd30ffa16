/**
 * Measures what is saved by telling a peer of a load only when it has moved by a radius since it was last told.
 *
 * The idea is from "Value-Based Notification Conditions in Large-Scale Publish/Subscribe Systems".
 *
 * @module
 */
import {type Measurement, type MeasurementRow} from './measurement.ts';
import {runSlopePoint} from './slopes/slope-run.ts';

/** Radii in tokens; 0 tells the load with each heartbeat. */
const radii = [0, 64, 256, 1024];

/** Measures the bytes that one loaded router sends to its peers, for each radius. */
export const measureNotificationRadius: Measurement = async report => {
	const rows: MeasurementRow[] = [];
	let everyPeriod: number | undefined;
	for (const loadRadiusTokens of radii) {
		const spending = await runSlopePoint({
			routers: 6, endpoints: 50, workspaces: 50, changesPerMinute: 0, generations: 50, tokensPerSecond: 400, requestsPerSecond: 18,
		}, {peers: {loadRadiusTokens}});
		everyPeriod ??= spending.peerBytesPerSecond;
		rows.push({
			name: `bytes to peers at a radius of ${loadRadiusTokens} tokens`, value: spending.peerBytesPerSecond, baseline: everyPeriod, unit: 'bytes/s', target: 'half or less',
		});
		report(`radius ${loadRadiusTokens}: done`);
	}

	return rows;
};
