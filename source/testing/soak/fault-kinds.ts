/**
 * What can be harmed during a soak: a table of kinds, each with its variants, what it harms, and what it does.
 *
 * @module
 */
import {type LinkFault} from '../stand-ins/link.ts';
import {type StoreFault} from '../stand-ins/store-stand-in.ts';
import {type WorkerFault} from '../stand-ins/worker-options.ts';
import {playEndingRequest} from './callers.ts';
import {type CallKind} from './history.ts';
import {limitSeries, nameLimitSeries} from './limit-series.ts';
import {type SoakGateway} from './gateway-process.ts';
import {type SoakWorld} from './world.ts';
import {type WorkerSlot} from './worker-slots.ts';

/** Starts a fault; what it returns ends the fault. */
type Start<Target> = (target: Target, variant: string, world: SoakWorld) => Promise<Ending> | Ending;

/** Ends a fault; absent where it ends by itself. */
type Ending = (() => Promise<void> | void) | undefined;

/** A kind of fault: on what it acts, and whether rules with a time are excused for that while it lasts. */
export type FaultKind = {variants: readonly string[]; disturbs: boolean} & (
	| {on: 'gateway'; start: Start<SoakGateway>}
	| {on: 'worker'; start: Start<WorkerSlot>}
	| {on: 'store' | 'operator' | 'all'; start: Start<undefined>}
);

const linkModes: Array<LinkFault['mode']> = ['cut', 'reset_existing', 'silent', 'silent_existing', 'drop_requests', 'drop_answers', 'drop_idle', 'delay'];

/** Delay of a delayed link, in milliseconds each way. */
const delayMilliseconds = 300;

/** Time-of-day jumps, in milliseconds. */
const clockJumps = ['-3600000', '-2000', '2000', '3600000'];

/** Times for which a sound worker is suspended, in milliseconds. */
const suspensions = ['1000', '1500'];

function linkKind(link: 'callersLink' | 'storeLink' | 'peersLink'): FaultKind {
	return {
		variants: linkModes,
		on: 'gateway',
		disturbs: true,
		start(gateway, variant) {
			gateway[link].apply({mode: variant as LinkFault['mode'], delayMilliseconds});
			return () => {
				gateway[link].apply({mode: 'up'});
			};
		},
	};
}

/** All kinds, by name. */
export const faultKinds: Record<string, FaultKind> = {
	'gateway paused': {
		variants: ['stop'],
		on: 'gateway',
		disturbs: true,
		start(gateway) {
			gateway.signal('SIGSTOP');
			return () => {
				gateway.signal('SIGCONT');
			};
		},
	},
	'gateway killed': {
		variants: ['kill'],
		on: 'gateway',
		disturbs: true,
		async start(gateway) {
			await gateway.kill();
			return async () => gateway.start();
		},
	},
	'gateways killed together': {
		variants: ['kill'],
		on: 'all',
		disturbs: true,
		async start(_nothing, _variant, world) {
			await Promise.all(world.gateways.map(async gateway => gateway.kill()));
			return async () => world.startGateways();
		},
	},
	'gateway stopped': {
		variants: ['planned'],
		on: 'gateway',
		disturbs: true,
		async start(gateway) {
			await gateway.stop();
			await gateway.start();
			return undefined;
		},
	},
	'gateway told of new settings': {
		variants: ['changed', 'broken'],
		on: 'gateway',
		disturbs: false,
		async start(gateway, variant) {
			await gateway.writeSettings(variant === 'broken');
			gateway.tellOfSettings();
			return async () => {
				await gateway.writeSettings(false);
				gateway.tellOfSettings();
			};
		},
	},
	'time of day jumps': {
		variants: clockJumps,
		on: 'gateway',
		disturbs: true,
		start(gateway, variant) {
			gateway.jump(Number(variant));
			return undefined;
		},
	},
	'link of callers': linkKind('callersLink'),
	'link to the store': linkKind('storeLink'),
	'link of gateways': linkKind('peersLink'),
	'link to a worker': {
		variants: linkModes,
		on: 'worker',
		disturbs: true,
		start({link}, variant) {
			link.apply({mode: variant as LinkFault['mode'], delayMilliseconds});
			return () => {
				link.apply({mode: 'up'});
			};
		},
	},
	store: {
		variants: ['busy', 'reset', 'silent', 'slow', 'lose-answers', 'late-writes'] satisfies StoreFault[],
		on: 'store',
		disturbs: true,
		start: (_nothing, variant, world) => world.harmStore(variant as StoreFault),
	},
	'store forgets': {
		variants: ['history'],
		on: 'store',
		disturbs: true,
		start(_nothing, _variant, {store}) {
			store.dropHistory();
			return undefined;
		},
	},
	'store comes back from an older copy': {
		variants: ['1000', '4000', '9000'],
		on: 'store',
		disturbs: true,
		start: (_nothing, variant, world) => world.restoreStore(Number(variant)),
	},
	'entries lapse': {
		variants: ['while the store is silent'],
		on: 'store',
		disturbs: true,
		start: (_nothing, _variant, world) => world.lapseEntries(),
	},
	'worker misbehaves': {
		variants: ['error', 'full', 'break', 'reset', 'mute', 'other-id', 'extra', 'garble', 'slow', 'repeat', 'endless-body', 'endless-failure', 'endless-head', 'stall-comment', 'stall-half', 'stall-line'] satisfies WorkerFault[],
		on: 'worker',
		disturbs: true,
		start(slot, variant) {
			slot.worker.fault = variant as WorkerFault;
			return () => {
				slot.worker.fault = 'none';
			};
		},
	},
	'workers misbehave together': {
		variants: ['full', 'error', 'reset'] satisfies WorkerFault[],
		on: 'all',
		disturbs: true,
		start(_nothing, variant, {slots}) {
			for (const {worker} of slots) {
				worker.fault = variant as WorkerFault;
			}

			return () => {
				for (const {worker} of slots) {
					worker.fault = 'none';
				}
			};
		},
	},
	'worker suspended': {
		variants: suspensions,
		on: 'worker',
		disturbs: false,
		start(slot, variant) {
			slot.suspend(Number(variant));
			return undefined;
		},
	},
	'workers suspended together': {
		variants: suspensions,
		on: 'all',
		disturbs: false,
		start(_nothing, variant, {slots}) {
			for (const slot of slots) {
				slot.suspend(Number(variant));
			}

			return undefined;
		},
	},
	'worker reports falsely': {
		variants: ['idle', 'leaving'],
		on: 'worker',
		disturbs: true,
		start(slot, variant) {
			slot.worker.falseReport = variant as 'idle' | 'leaving';
			return () => {
				slot.worker.falseReport = undefined;
			};
		},
	},
	'worker crashes': {
		variants: ['once', 'again and again'],
		on: 'worker',
		disturbs: true,
		async start(slot, variant) {
			const times = variant === 'once' ? 1 : 3;
			for (let time = 0; time < times; time += 1) {
				await slot.crash();
			}

			return undefined;
		},
	},
	'worker leaves': {
		variants: ['announced', 'without a word'],
		on: 'worker',
		disturbs: false,
		async start(slot, variant) {
			await slot.leave(variant === 'announced');
			return undefined;
		},
	},
	'worker says that it leaves': {
		variants: ['in its answers'],
		on: 'worker',
		disturbs: false,
		async start(slot) {
			await slot.sayLeaving();
			return undefined;
		},
	},
	'worker asks to back off': {
		variants: ['1', '3'],
		on: 'worker',
		disturbs: true,
		start(slot, variant) {
			const {worker} = slot;
			worker.backoffSeconds = Number(variant);
			return () => {
				worker.backoffSeconds = undefined;
			};
		},
	},
	'worker names a limit': {
		variants: [...Object.keys(limitSeries), 'unreadable'],
		on: 'worker',
		disturbs: true,
		start: (slot, variant) => nameLimitSeries(slot, variant),
	},
	'worker returns at another one\'s address': {
		variants: ['swap'],
		on: 'worker',
		disturbs: true,
		async start(slot) {
			await slot.replace();
			return undefined;
		},
	},
	'requests end workers': {
		variants: ['idempotent', 'once', 'generation', 'prompt part'] satisfies Array<CallKind | 'prompt part'>,
		on: 'all',
		disturbs: false,
		start(_nothing, variant, world) {
			const ending = new AbortController();
			const options = variant === 'prompt part' ? {kind: 'generation' as const, sharesPart: true} : {kind: variant as CallKind};
			const playing = playEndingRequest(world, options, ending.signal);
			return async () => {
				ending.abort();
				await playing;
			};
		},
	},
	'configuration changes': {
		variants: ['once', 'storm', 'key taken away', 'route moved'],
		on: 'operator',
		disturbs: false,
		async start(_nothing, variant, world) {
			await world.changeConfiguration(variant);
			return undefined;
		},
	},
};
