import type {RandomSource} from '@camphortack/core';
import type {BackendServerDescription} from '../../src/index.js';
import type {FakeServer} from './fake-server.js';
import type {PatternJob} from './load-pattern.js';

/** Racks of a replayed load, and where the data of its jobs is. */
export type RackOptions = {
	/** The factor by which a task takes longer on a rack without its data. */
	remoteFactor: number;
	/** Whether the placer knows the factor. */
	isFactorKnown: boolean;
	/** The kind of which many jobs want the same rack, and their share of the kind. The data of all other jobs is spread evenly. */
	hot?: {kindName: string; share: number};
	/** The speeds of the backend servers, used in turn. */
	speeds?: readonly number[];
};

const serversPerRack = 8;
const hotRack = 'rack-0';
const speedLabelPrefix = 'speed-';

/**
 * Sets the racks of a fleet, and the speeds as labels.
 * @param options - The speeds.
 * @param servers - The backend servers.
 */
export function setRacks({speeds}: RackOptions, servers: readonly FakeServer[]): void {
	for (const [position, {description}] of servers.entries()) {
		const speed = speeds?.[position % speeds.length] ?? 1;
		description.labels = [`${speedLabelPrefix}${speed}`, `rack-${Math.floor(position / serversPerRack)}`];
	}
}

/**
 * Draws the rack that holds the data of each job.
 * @param options - The hot rack.
 * @param jobs - The jobs.
 * @param random - The random source.
 */
export function addDataRacks({hot}: RackOptions, jobs: readonly PatternJob[], random: RandomSource): void {
	const rackCount = 10;
	for (const {kind, request} of jobs) {
		const isHot = random.getFraction() < (kind.name === hot?.kindName ? hot.share : 0);
		const evenRack = `rack-${Math.floor(random.getFraction() * rackCount)}`;
		request.steps[0]!.dataRack = isHot ? hotRack : evenRack;
	}
}

/**
 * Gets the factor on the run time of a task on a backend server.
 * @param options - The distance factor.
 * @param server - The backend server.
 * @param dataRack - The rack with the task's data.
 */
export function getRackRunFactor({remoteFactor}: RackOptions, {labels}: BackendServerDescription, dataRack: string | undefined): number {
	const isRemote = dataRack !== undefined && !labels.includes(dataRack);
	return (isRemote ? remoteFactor : 1) / getLabelledSpeed(labels);
}

function getLabelledSpeed(labels: readonly string[]): number {
	const label = labels.find(text => text.startsWith(speedLabelPrefix));
	return label === undefined ? 1 : Number(label.slice(speedLabelPrefix.length));
}
