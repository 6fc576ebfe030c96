/**
 * The limits of what a backend server may say of itself: far above every real machine. A value beyond them was not meant as a
 * number of that unit, and whoever wrote it describes no backend server.
 */
export const descriptionLimits = {
	/** The end of the year 2199. A time in microseconds since 1970 lies beyond it. */
	maxBornMs: 7_258_118_400_000,
	/** More heartbeats than one a millisecond in 30 years. */
	maxSequence: 1_000_000_000_000,
	maxSlots: 1_000_000,
	/** A million cores. */
	maxCpuMillicores: 1_000_000_000,
	/** A petabyte. */
	maxMemoryMb: 1_000_000_000,
	maxGpus: 100_000,
	/** 30 days. */
	maxRemainingMs: 2_592_000_000,
	maxIdLength: 1024,
	maxNameLength: 1024,
	maxLabels: 256,
	maxLabelLength: 256,
} as const;
