/** A ratio of failures to attempts in which old attempts count less and less. */
export type DecayingRatio = {
	add(isFailure: boolean, nowMs: number): void;
	/** Takes out the attempts that another ratio counts, a part of this one. */
	subtract(part: DecayingRatio, nowMs: number): void;
	getAttempts(nowMs: number): number;
	getFailures(nowMs: number): number;
};

/**
 * Creates a ratio that forgets exponentially.
 * @param halfLifeMs - After this time an attempt counts half.
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
