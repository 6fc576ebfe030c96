/** Tracks how often jobs of each size class of each queue are served in time. */
export type SizeShares = {
	/** Records the size of a job that has arrived. */
	addJob(queueName: string, relativeWork: number): void;
	/** Records the end of a job. */
	addEnd(queueName: string, relativeWork: number, isInTime: boolean): void;
	/** Whether jobs of this size are served too rarely compared with the queue. */
	isUnderserved(queueName: string, relativeWork: number): boolean;
};

type QueueSizes = {
	/** The work above which a job belongs to the largest tenth, and to the fifth below it. */
	bounds: [number, number];
	/** The share served in time of all jobs, of the largest tenth, and of the fifth below it. */
	servedShares: [number, number, number];
};

const largestShare = 0.1;
const secondShare = 0.3;
const initialBounds: readonly [number, number] = [2, 1.4];
const boundStep = 0.05;
const newJobWeight = 0.02;
const newLargeJobWeight = 0.1;
/** Large jobs must be served half as often as their queue; the margin allows for errors of the declared work. */
const minServedRatio = 0.5;

/**
 * Creates the shares. They handle overload that lasts: the order by work alone would refuse nearly all large jobs of a queue.
 */
export function createSizeShares(): SizeShares {
	const queues = new Map<string, QueueSizes>();

	function getSizes(queueName: string): QueueSizes {
		const sizes = queues.get(queueName) ?? {bounds: [...initialBounds], servedShares: [1, 1, 1]};
		queues.set(queueName, sizes);
		return sizes;
	}

	return {
		addJob(queueName, relativeWork) {
			const {bounds} = getSizes(queueName);
			bounds[0] += boundStep * (Number(relativeWork > bounds[0]) - largestShare);
			bounds[1] += boundStep * (Number(relativeWork > bounds[1]) - secondShare);
		},
		addEnd(queueName, relativeWork, isInTime) {
			const {bounds, servedShares} = getSizes(queueName);
			const position = getClass(bounds, relativeWork);
			servedShares[0] += newJobWeight * (Number(isInTime) - servedShares[0]);
			if (position !== 0) {
				servedShares[position] += newLargeJobWeight * (Number(isInTime) - servedShares[position]);
			}
		},
		isUnderserved(queueName, relativeWork) {
			const {bounds, servedShares} = getSizes(queueName);
			const position = getClass(bounds, relativeWork);
			return position !== 0 && servedShares[position] < servedShares[0] * minServedRatio;
		},
	};
}

function getClass(bounds: readonly [number, number], relativeWork: number): 0 | 1 | 2 {
	if (relativeWork > bounds[0]) {
		return 1;
	}

	return relativeWork > bounds[1] ? 2 : 0;
}
