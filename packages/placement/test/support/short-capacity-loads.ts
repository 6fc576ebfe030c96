import {smallServerFleet, type ReplayOptions} from './load-replay.js';

/** A load for which capacity is short for part of the time, or a usual one to compare it with. */
export type ShortCapacityLoad = ReplayOptions & {
	title: string;
	/** When capacity is short. */
	fromMs: number;
	toMs: number;
};

const fromMs = 8000;
const toMs = 12_000;
/** Usual load goes on after the burst, so that jobs of the burst end and refused callers return before the replay does. */
const durationMs = 18_000;

/** Usual load of which 4 s have a burst, on backend servers of which two thirds hold two tasks of mean size. */
export const shortCapacityLoads: readonly ShortCapacityLoad[] = [
	{title: 'long x 2.1', load: 0.8, bursts: [{kindNames: ['long'], factor: 2.1}]},
	{title: 'wide x 2.1', load: 0.8, bursts: [{kindNames: ['wide'], factor: 2.1}]},
	{title: 'small x 2.1', load: 0.8, bursts: [{kindNames: ['small'], factor: 2.1}]},
	{title: 'all x 1.8', load: 0.8, bursts: [{factor: 1.8}]},
	{title: 'usual load of 0.6', load: 0.6, bursts: []},
].map(load => ({
	...load, bursts: load.bursts.map(burst => ({...burst, fromMs, toMs})), fleet: smallServerFleet, fromMs, toMs, durationMs,
}));
