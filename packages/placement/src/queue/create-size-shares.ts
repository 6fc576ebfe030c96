import {getSizePlace, type SizePlace, type SizeState} from './get-size-place.js';

/** Tracks how often the sizes of each queue's jobs are served in time, and gives arriving jobs their places. */
export type SizeShares = {
	/** Records a job that has arrived, and gets its place among the waiting jobs. */
	addJob(queueName: string, relativeWork: number): SizePlace;
	/** Records the first start of a job. */
	addStart(queueName: string, relativeWork: number, place: SizePlace): void;
	/** Records whether a job was served in time; refusals for overload count as not served. */
	addEnd(queueName: string, place: SizePlace, isInTime: boolean): void;
};

/** Until they are learned, the bounds are those of a queue whose work is spread by about half of its mean. */
const initialBounds: Readonly<SizeState['bounds']> = {largest: 2, second: 1.4};
const largestShare = 0.1;
const secondShare = 0.3;
const boundStep = 0.05;
const newJobWeight = 0.02;
const newLargeJobWeight = 0.1;
/** The part of a preferred job's work that counts as debt: such jobs are served in part without preference, too. */
const debtShare = 0.6;
/** Bounds the debt, in jobs of mean work, so that little is given back after an overload has ended. */
const maxDebt = 20;

/** Creates the shares of a placer, which has seen no jobs yet. */
export function createSizeShares(): SizeShares {
	const states = new Map<string, SizeState>();

	function getState(queueName: string): SizeState {
		const state = states.get(queueName) ?? {
			bounds: {...initialBounds}, servedShares: {largest: 1, second: 1}, queueServedShare: 1, debt: 0,
		};
		states.set(queueName, state);
		return state;
	}

	return {
		addJob(queueName, relativeWork) {
			const state = getState(queueName);
			const place = getSizePlace(state, relativeWork);
			state.bounds.largest += boundStep * (Number(relativeWork > state.bounds.largest) - largestShare);
			state.bounds.second += boundStep * (Number(relativeWork > state.bounds.second) - secondShare);
			state.debt -= place.standing === 'deferred' ? relativeWork : 0;
			return place;
		},
		addStart(queueName, relativeWork, {standing}) {
			const state = getState(queueName);
			state.debt = Math.min(maxDebt, state.debt + (standing === 'preferred' ? relativeWork * debtShare : 0));
		},
		addEnd(queueName, {sizeClass}, isInTime) {
			const state = getState(queueName);
			state.queueServedShare += newJobWeight * (Number(isInTime) - state.queueServedShare);
			if (sizeClass !== 'other') {
				state.servedShares[sizeClass] += newLargeJobWeight * (Number(isInTime) - state.servedShares[sizeClass]);
			}
		},
	};
}
