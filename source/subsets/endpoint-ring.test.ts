import assert from 'node:assert/strict';
import {test} from 'node:test';
import {endpointSubset, gatewayPlace, GatewaySubsets} from './mod.ts';

const endpointsOf = (count: number) => Array.from({length: count}, (_unused, index) => ({
	id: `desk-${index}`, address: `10.0.0.${index}:80`,
}));
const namesOf = (count: number) => Array.from({length: count}, (_unused, index) => `gateway-${index}`);
const logger = {debug: () => undefined};
const allSound = () => true;

type Fleet = {gateways: number; endpoints: number};

/** Returns the subset of each gateway, by its name. */
function subsetsOf({gateways, endpoints}: Fleet, isSound: ({id}: {id: string}) => boolean = allSound): Map<string, Set<string>> {
	const names = namesOf(gateways);
	return new Map(names.map(name => [name, new Set(endpointSubset({endpoints: endpointsOf(endpoints), place: gatewayPlace(name, names), isSound}).map(({id}) => id))]));
}

function usersOf(subsets: ReadonlyMap<string, ReadonlySet<string>>, id: string): number {
	return [...subsets.values()].filter(subset => subset.has(id)).length;
}

// Loads: all gateways send the same; from a single gateway to 390 gateways before 1,800 endpoints.
const fleets: Fleet[] = [
	{gateways: 1, endpoints: 4}, {gateways: 3, endpoints: 4}, {gateways: 75, endpoints: 4}, {gateways: 75, endpoints: 126}, {gateways: 390, endpoints: 100}, {gateways: 390, endpoints: 1800},
];
for (const fleet of fleets) {
	test(`${fleet.gateways} gateways use each of ${fleet.endpoints} endpoints about equally`, () => {
		const subsets = subsetsOf(fleet);
		const users = endpointsOf(fleet.endpoints).map(({id}) => usersOf(subsets, id));
		const {size} = (subsets.get('gateway-0')!);
		assert.ok(Math.min(...users) >= Math.min(fleet.gateways, 2), `one is used by ${Math.min(...users)}`);
		assert.ok(Math.max(...users) - Math.min(...users) <= size, `used by ${Math.min(...users)} to ${Math.max(...users)}`);
		assert.ok(size <= Math.max(2, Math.ceil(2 * fleet.endpoints / fleet.gateways)));
	});
}

const changes = {
	gateway: {before: {gateways: 75, endpoints: 100}, after: {gateways: 74, endpoints: 100}},
	endpoint: {before: {gateways: 75, endpoints: 100}, after: {gateways: 75, endpoints: 99}},
};
for (const [name, {before, after}] of Object.entries(changes)) {
	test(`when one ${name} of 100 goes, two thirds of each subset stay on average`, () => {
		const subsets = subsetsOf(before);
		const shares = [...subsetsOf(after)].map(([gateway, subset]) => [...subset].filter(id => subsets.get(gateway)!.has(id)).length / subset.size);
		const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length;
		assert.ok(mean >= 2 / 3, `a share of ${mean} stayed`);
	});
}

test('a subset whose endpoints are unsound grows by as many sound ones, and holds all endpoints when none is sound', () => {
	const isSick = new Set(subsetsOf({gateways: 75, endpoints: 6}).get('gateway-0'));
	const grown = subsetsOf({gateways: 75, endpoints: 6}, ({id}) => !isSick.has(id)).get('gateway-0')!;
	assert.equal([...grown].filter(id => !isSick.has(id)).length, 2);
	assert.equal(subsetsOf({gateways: 75, endpoints: 6}, () => false).get('gateway-0')!.size, 6);
});

test('a gateway that knows no other uses all endpoints, and counts the others again within a second', () => {
	let names = ['gateway-0'];
	const subsets = new GatewaySubsets({
		enabled: true, self: 'gateway-0', liveGateways: () => names, logger,
	});
	const options = {endpoints: endpointsOf(4), isSound: allSound};
	assert.equal(subsets.select({...options, now: 0}).length, 4);
	names = namesOf(75);
	assert.equal(subsets.select({...options, now: 1000}).length, 2);
	assert.equal(new GatewaySubsets({
		enabled: false, self: 'gateway-0', liveGateways: () => names, logger,
	}).select({...options, now: 0}).length, 4);
});
