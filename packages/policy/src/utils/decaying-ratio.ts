/** Exponentially decaying counts of attempts and failures. */
export type DecayingRatio = {
	add(isFailure: boolean, nowMs: number): void;
	/** Subtracts the counts of another ratio whose attempts are also counted in this one. */
	subtract(part: DecayingRatio, nowMs: number): void;
	getAttempts(nowMs: number): number;
	getFailures(nowMs: number): number;
};

/**
 * Creates a ratio with exponential decay.
 * @param halfLifeMs - The time after which the weight of an attempt has halved.
 */
export function createDecayingRatio(halfLifeMs: number): DecayingRatio {
	let attempts = 0;
	let failures = 0;
	let decayedAtMs = 0;

	function decay(nowMs: number): void {
		const factor = 0.5 ** ((nowMs - decayedAtMs) / halfLifeMs);
		attempts *= factor;
		failures *= factor;
		decayedAtMs = nowMs;
	}

	return {
		add(isFailure, nowMs) {
			decay(nowMs);
			attempts++;
			failures += isFailure ? 1 : 0;
		},
		subtract(part, nowMs) {
			decay(nowMs);
			attempts = Math.max(0, attempts - part.getAttempts(nowMs));
			failures = Math.max(0, failures - part.getFailures(nowMs));
		},
		getAttempts(nowMs) {
			decay(nowMs);
			return attempts;
		},
		getFailures(nowMs) {
			decay(nowMs);
			return failures;
		},
	};
}
