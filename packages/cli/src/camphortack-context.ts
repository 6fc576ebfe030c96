import type {BaseContext} from 'clipanion';
import type {RandomSource} from '@camphortack/core';

/** The environment of the commands: streams, environment variables, a random source and a timer. */
export type CamphortackContext = BaseContext & {
	random: RandomSource;
	/** Waits before the next attempt. */
	wait(durationMs: number): Promise<void>;
};
