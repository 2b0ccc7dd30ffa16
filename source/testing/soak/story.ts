/**
 * Tells what happened to a request, from all that was seen and logged.
 *
 * @module
 */
import {type SoakWorld} from './world.ts';

/** Log lines told of a gateway that ended by itself. */
const lastLines = 8;

/** Disturbances told without an attempt that they could explain. */
const lastDisturbances = 20;

/**
 * Tells the story of an attempt: what its caller and workers saw, what was disturbed, and the lines of all gateways on it.
 *
 * @param world The soak.
 * @param attempt Name of the attempt; absent where none shows the fault.
 */
export function tellStory({history, gateways}: SoakWorld, attempt: string | undefined): string[] {
	const request = history.requests.find(candidate => candidate.attempt === attempt);
	const runs = history.runs.filter(run => run.attempt === attempt);
	const from = (request?.sentAt ?? performance.now()) - 10_000;
	const until = request ? (request.answer?.at ?? request.leftAt ?? performance.now()) : performance.now();
	const disturbances = history.disturbances.filter(disturbance => disturbance.from <= until && (disturbance.until ?? Number.POSITIVE_INFINITY) >= from);
	return [
		`caller: ${JSON.stringify(request)}`,
		...runs.map(run => `run: ${JSON.stringify({...run, answer: run.answer.slice(0, 60)})}`),
		...disturbances.slice(-lastDisturbances).map(disturbance => `disturbance: ${JSON.stringify(disturbance)}`),
		...history.configurations.slice(-5).map(({version, at, services}) => `configuration ${version} at ${at}: ${JSON.stringify(services)}`),
		...history.ends.filter(({expected}) => !expected).flatMap(({gateway, at, reason}) => {
			const lines = gateways.find(({name}) => name === gateway)!.log.join('').trimEnd().split('\n').slice(-lastLines);
			return [`${gateway} ended at ${at}: ${reason}`, ...lines.map(line => `${gateway}: ${line}`)];
		}),
		...gateways.flatMap(({name, log}) => log.join('').split('\n').filter(line => attempt !== undefined && line.includes(`"${attempt}"`)).map(line => `${name}: ${line}`)),
	];
}
