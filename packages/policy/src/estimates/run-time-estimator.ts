/** Learns how long the tasks of each service run. */
export type RunTimeEstimator = {
	addSample(service: string, durationMs: number): void;
	/** Gets the learned mean once there are enough samples, else the declared time. */
	getExpectedRunTimeMs(service: string, declaredRunTimeMs: number): number;
	/** Finds a learned quantile, or undefined while there are too few samples. */
	findQuantileMs(service: string, quantile: number): number | undefined;
};
