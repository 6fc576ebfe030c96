/** A deployment as the users run it today. */
export type Deployment = {
	name: 'schellack-glanz' | 'restaurierwerk';
	availabilityZones: number;
	/** One way, between two availability zones. */
	zoneLatencyMs: number;
	/** One way, between a client and a daemon. */
	clientLatencyMs: number;
	/** One way, inside an availability zone. */
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
 * Gets the name of the availability zone of the daemon or backend server of a number.
 * @param deployment - The deployment.
 * @param index - The number.
 */
export function getZoneName(deployment: Deployment, index: number): string {
	return `zone-${index % deployment.availabilityZones}`;
}

/**
 * Gets the latency of one way between two availability zones.
 * @param deployment - The deployment.
 * @param left - One of them.
 * @param right - The other one.
 */
export function getLatencyMs(deployment: Deployment, left: string, right: string): number {
	return left === right ? deployment.localLatencyMs : deployment.zoneLatencyMs;
}
