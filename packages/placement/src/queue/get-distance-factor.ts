/**
 * Gets the factor by which a task runs longer on a backend server because of the distance to its data.
 * @param dataRack - The rack that holds the data; undefined if the distance does not matter.
 * @param labels - The labels of the backend server, among them its rack.
 * @param remoteRunFactor - The factor for racks without the data; undefined if it is not known.
 *
 * @example
 * ```ts
 * getDistanceFactor('rack-2', ['large', 'rack-7'], 3); // 3
 * ```
 */
export function getDistanceFactor(dataRack: string | undefined, labels: readonly string[], remoteRunFactor: number | undefined): number {
	return remoteRunFactor === undefined || dataRack === undefined || labels.includes(dataRack) ? 1 : remoteRunFactor;
}
