/** The lowest rate at which the clock of a backend server may run relative to the local clock. */
export const minClockRate = 0.98;

/**
 * Estimates a backend server's clock and the expiry of its leases from clock readings in responses, without comparing
 * the clocks of two VMs.
 */
export type LeaseClock = {
	/** Records a clock reading from a response. */
	addReading(clockMs: number, nowMs: number): void;
	/** Gets a lower bound of the current time on the backend server's clock; undefined before the first reading. */
	findServerTimeMs(nowMs: number): number | undefined;
	/** Records a lease that was sent, by its end on the backend server's clock. */
	addLease(leaseEndMs: number): void;
	/** Gets the local time by which every lease sent so far has certainly expired. */
	getLeaseExpiryMs(): number;
};

/**
 * Creates the clock of one incarnation.
 * @param maxLeaseMs - The longest lease that a backend server grants.
 */
export function createLeaseClock(maxLeaseMs: number): LeaseClock {
	let reading: {clockMs: number; atMs: number} | undefined;
	let latestLeaseEndMs = 0;
	let lastSentAtMs = 0;

	return {
		addReading(clockMs, nowMs) {
			reading = {clockMs, atMs: nowMs};
			lastSentAtMs = nowMs;
		},
		findServerTimeMs: nowMs => (reading === undefined ? undefined : reading.clockMs + Math.floor((nowMs - reading.atMs) * minClockRate)),
		addLease(leaseEndMs) {
			latestLeaseEndMs = Math.max(latestLeaseEndMs, leaseEndMs);
		},
		getLeaseExpiryMs() {
			if (reading === undefined) {
				return lastSentAtMs + (maxLeaseMs / minClockRate);
			}

			return reading.atMs + Math.max(0, (latestLeaseEndMs - reading.clockMs) / minClockRate);
		},
	};
}
