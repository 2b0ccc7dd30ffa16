/**
 * Measures how a router's processor time, memory, messages and bytes for control grow with the size of the fleet.
 *
 * @module
 */
import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import {View, parse} from 'vega';
import {compile} from 'vega-lite';
import {fitLine} from './fit-line.ts';
import {writeResult} from './run-result.ts';
import {runSlopePoint, type SlopeSize} from './slopes/slope-run.ts';
import {type RouterSpending} from './slopes/router-sample.ts';

const baseline: SlopeSize = {
	routers: 4, endpoints: 50, workspaces: 10, changesPerMinute: 0, generations: 0, tokensPerSecond: 0, requestsPerSecond: 0,
};

type Variable = {variable: keyof SlopeSize; points: number[]; beside?: Partial<SlopeSize>};

/** The points of each variable; all else stays at the baseline or at the fields given beside the points. */
const variables: Variable[] = [
	{variable: 'routers', points: [2, 6, 14, 28]},
	{variable: 'endpoints', points: [50, 600, 1200, 1800]},
	{variable: 'changesPerMinute', points: [0, 6, 15, 30]},
	{variable: 'workspaces', points: [10, 900, 2700], beside: {requestsPerSecond: 18, routers: 2}},
	{variable: 'generations', points: [50, 200, 400], beside: {tokensPerSecond: 400, routers: 2}},
	{variable: 'tokensPerSecond', points: [400, 2000, 4600], beside: {generations: 300, routers: 2}},
	{variable: 'requestsPerSecond', points: [0, 18, 40], beside: {routers: 2}},
];

const fields: Array<keyof RouterSpending> = [
	'processorPercent', 'residentMegabytes', 'peerBytesPerSecond', 'platformBytesPerSecond', 'endpointBytesPerSecond', 'platformReadsPerSecond', 'platformWritesPerSecond',
];

type Point = RouterSpending & {variable: string; x: number; losses: number};

const wanted = process.argv[2];
const points: Point[] = [];
for (const {variable, points: values, beside} of variables) {
	if (wanted !== undefined && wanted !== variable) {
		continue;
	}

	// Fleets without load hardly touch the processor, so that their points are measured together.
	if (beside === undefined) {
		points.push(...await Promise.all(values.map(async x => measurePoint(variable, x, beside))));
		continue;
	}

	for (const x of values) {
		points.push(await measurePoint(variable, x, beside));
	}
}

const lines = variables.flatMap(({variable}) => fields.flatMap(field => {
	const measured = points.filter(point => point.variable === variable).map((point): [number, number] => [point.x, point[field]]);
	return measured.length < 2 ? [] : [{variable, field, ...fitLine(measured)}];
}));
console.table(lines.map(line => ({
	...line, intercept: line.intercept.toPrecision(4), slope: line.slope.toPrecision(4), slopeError: line.slopeError?.toPrecision(2),
})));
console.log(await writeResult('slopes', {baseline, points, lines}));
await writeFile('measurements-output/slopes.svg', await plot(points));

/** Draws one small chart for each variable and field. */
async function plot(values: Point[]): Promise<string> {
	const long = values.flatMap(point => fields.map(field => ({
		variable: point.variable, x: point.x, field, value: point[field],
	})));
	const {spec} = compile({
		data: {values: long},
		facet: {row: {field: 'field', type: 'nominal', title: ''}, column: {field: 'variable', type: 'nominal', title: ''}},
		spec: {
			width: 120,
			height: 80,
			mark: {type: 'line', point: true},
			encoding: {x: {field: 'x', type: 'quantitative', title: ''}, y: {field: 'value', type: 'quantitative', title: ''}},
		},
		resolve: {scale: {x: 'independent', y: 'independent'}},
	});
	return new View(parse(spec), {renderer: 'none'}).toSVG();
}

async function measurePoint(variable: keyof SlopeSize, x: number, beside?: Partial<SlopeSize>): Promise<Point> {
	const spending = await runSlopePoint({...baseline, ...beside, [variable]: x});
	console.log(`${variable} ${x}: ${fields.map(field => `${field} ${spending[field].toFixed(2)}`).join(', ')}, losses ${spending.losses}`);
	return {variable, x, ...spending};
}
