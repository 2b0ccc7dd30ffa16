/**
 * Measures how long a choice of an endpoint takes at the size of two years from now.
 *
 * @module
 */
import process from 'node:process';
import {build} from 'hdr-histogram-js';
import {Placement} from '../placement/mod.ts';

/** One figure of the choice's latency. */
export type PlacementRow = {
	endpoints: number;
	endpointsPerService: number;
	/** Whether the choice looks for the owner of a prompt's prefix. */
	prompt: boolean;
	medianMicroseconds: number;
	p99Microseconds: number;
};

const choices = 20_000;

/**
 * Measures choices over a subset and over a whole service of 1,800 endpoints.
 *
 * @returns One row for each size of the subset, with and without a prompt.
 * @example
 * ```ts
 * console.table(measurePlacement());
 * ```
 */
export function measurePlacement(): PlacementRow[] {
	const rows: PlacementRow[] = [];
	for (const endpointsPerService of [48, 1800]) {
		for (const prompt of [true, false]) {
			rows.push(measure(1800, endpointsPerService, prompt));
		}
	}

	return rows;
}

function measure(count: number, endpointsPerService: number, prompt: boolean): PlacementRow {
	const endpoints = Array.from({length: count}, (_, index) => ({address: `10.${Math.floor(index / 250)}.0.${index % 250}:9000`}));
	const placement = new Placement({endpointsOf: () => endpoints, endpointsPerService, initialLimitOf: () => 65_536});
	const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 1_000_000_000, numberOfSignificantValueDigits: 3});
	for (let choice = 0; choice < choices; choice += 1) {
		const startedAt = process.hrtime.bigint();
		const address = placement.choose({
			service: 'briefs', exclude: new Set(), now: choice, random: Math.random(), tokens: 300, ...(prompt && {prompt: `Lore of clan ${choice % 500}`}),
		});
		histogram.recordValue(Number(process.hrtime.bigint() - startedAt));
		placement.recordStart(address!, 300);
		if (choice % 2 === 0) {
			placement.recordEnd(address!, 300);
		}
	}

	return {
		endpoints: count, endpointsPerService, prompt,
		medianMicroseconds: histogram.getValueAtPercentile(50) / 1000,
		p99Microseconds: histogram.getValueAtPercentile(99) / 1000,
	};
}
