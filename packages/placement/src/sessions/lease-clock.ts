/** How much slower than ours the clock of a backend server may run. */
const slowestClockRate = 0.98;

/** What is known of a backend server's clock, without comparing clocks of two VMs. */
export type LeaseClock = {
	/** Notes a reading that an answer carried. */
	addReading(clockMs: number, nowMs: number): void;
	/** Gets a time on the backend server's clock that is not after the present there. */
	findServerTimeMs(nowMs: number): number | undefined;
	/** Notes that a lease until a time of the backend server's clock was sent. */
	addLease(leaseEndMs: number): void;
	/** Gets when every lease sent so far is surely over, on our clock. */
	getLeasesOverAtMs(): number;
};

/**
 * Creates the clock of one incarnation.
 * @param mostLeaseMs - The longest lease that a backend server grants.
 */
export function createLeaseClock(mostLeaseMs: number): LeaseClock {
	let reading: {clockMs: number; atMs: number} | undefined;
	let latestLeaseEndMs = 0;
	let lastSentAtMs = 0;

	return {
		addReading(clockMs, nowMs) {
			reading = {clockMs, atMs: nowMs};
			lastSentAtMs = nowMs;
		},
		findServerTimeMs: nowMs => (reading === undefined ? undefined : reading.clockMs + Math.floor((nowMs - reading.atMs) * slowestClockRate)),
		addLease(leaseEndMs) {
			latestLeaseEndMs = Math.max(latestLeaseEndMs, leaseEndMs);
		},
		getLeasesOverAtMs() {
			if (reading === undefined) {
				return lastSentAtMs + (mostLeaseMs / slowestClockRate);
			}

			return reading.atMs + Math.max(0, (latestLeaseEndMs - reading.clockMs) / slowestClockRate);
		},
	};
}
