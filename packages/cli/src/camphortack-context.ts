import type {BaseContext} from 'clipanion';
import type {RandomSource} from '@camphortack/core';

/** What the commands use of the outside: streams and environment variables, randomness and time. */
export type CamphortackContext = BaseContext & {
	random: RandomSource;
	/** Waits between two attempts. */
	wait(durationMs: number): Promise<void>;
};
