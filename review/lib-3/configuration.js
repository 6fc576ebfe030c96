/**
 * Creates a configuration with one route, in the form that the operator sends.
 * @param options - The version, and what differs from the usual figures.
 */
export function createConfiguration({version, service, host, pathPrefix, timeoutMs, targetDurationMs = 60, maxAttempts = 3}) {
	return {
		version,
		routes: [{
			name: 'r-1', host, pathPrefix, type: 'non_idempotent', timeoutMs, targetDurationMs, priority: 0, service, maxAttempts, stretch: 1.6,
		}],
		services: [{
			name: service, healthPath: '/health', maxConns: 64, protocol: 'h1', tls: false, enforcesCapacity: false, standby: false,
		}],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
	};
}
