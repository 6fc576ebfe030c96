/** A deployment that users run today. */
export type Deployment = {
	name: 'schellack-glanz' | 'restaurierwerk';
	availabilityZones: number;
	/** The one-way latency between two availability zones. */
	zoneLatencyMs: number;
	/** The one-way latency between a client and a daemon. */
	clientLatencyMs: number;
	/** The one-way latency within an availability zone. */
	localLatencyMs: number;
	backendServers: number;
	slotsPerBackendServer: number;
	daemons: number;
};

export const deployments: readonly Deployment[] = [
	{
		name: 'schellack-glanz',
		availabilityZones: 3,
		zoneLatencyMs: 0.5,
		clientLatencyMs: 3,
		localLatencyMs: 0.2,
		backendServers: 30,
		slotsPerBackendServer: 8,
		daemons: 8,
	},
	{
		name: 'restaurierwerk',
		availabilityZones: 4,
		zoneLatencyMs: 1.5,
		clientLatencyMs: 1,
		localLatencyMs: 0.2,
		backendServers: 30,
		slotsPerBackendServer: 8,
		daemons: 8,
	},
];

/**
 * Gets the name of the availability zone of a daemon or backend server.
 * @param deployment - The deployment.
 * @param index - The index of the daemon or backend server.
 */
export function getZoneName(deployment: Deployment, index: number): string {
	return `zone-${index % deployment.availabilityZones}`;
}

/**
 * Gets the one-way latency between two availability zones.
 * @param deployment - The deployment.
 * @param left - The name of one zone.
 * @param right - The name of the other zone, which may be the same.
 */
export function getLatencyMs(deployment: Deployment, left: string, right: string): number {
	return left === right ? deployment.localLatencyMs : deployment.zoneLatencyMs;
}
