import {smallServerFleet, type ReplayOptions, type ReplayStep} from './load-replay.js';

/** A load for which capacity is short for part of the time. */
export type ShortCapacityLoad = ReplayOptions & {
	title: string;
	/** When capacity is short. */
	fromMs: number;
	toMs: number;
};

const fromMs = 8000;
const toMs = 12_000;
const lostShare = 0.17;

const serversDown: ReplayStep = {
	atMs: fromMs,
	apply({fleet}) {
		for (const {description} of fleet.servers.slice(0, Math.round(fleet.servers.length * lostShare))) {
			fleet.crash(description.id);
		}
	},
};

/** Usual load for 8 s, then 4 s in which capacity is short, on backend servers of which half hold two tasks of mean size. */
export const shortCapacityLoads: readonly ShortCapacityLoad[] = [
	{title: 'burst of 2.1 of the long kind', load: 0.8, bursts: [{kindNames: ['long'], factor: 2.1}]},
	{title: 'burst of 2.1 of the wide kind', load: 0.8, bursts: [{kindNames: ['wide'], factor: 2.1}]},
	{title: 'burst of 2.1 of the small kind', load: 0.8, bursts: [{kindNames: ['small'], factor: 2.1}]},
	{title: 'burst of 1.8 of all kinds', load: 0.8, bursts: [{factor: 1.8}]},
	{title: 'one entry daemon sends as much of the long kind as all others', load: 0.8, bursts: [{kindNames: ['long'], factor: 2, entryId: 'entry-0'}]},
	{title: 'one entry daemon sends as much of the small kind as all others', load: 0.8, bursts: [{kindNames: ['small'], factor: 2, entryId: 'entry-0'}]},
	{title: '0.17 of the backend servers go down', load: 0.8, steps: [serversDown]},
	{title: 'usual load of 0.8', load: 0.8},
	{title: 'usual load of 0.58', load: 0.58},
].map(load => ({
	...load, bursts: load.bursts?.map(burst => ({...burst, fromMs, toMs})), fleet: smallServerFleet, fromMs, toMs, durationMs: toMs,
}));
