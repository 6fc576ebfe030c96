import type {EvacuationOrder, Evacuations, EvacuationState} from './evacuation-schemas.js';

/** The state machine for evacuations: the set of evacuated availability zones after the committed orders. */
export type EvacuationMachine = {
	getEvacuations(): Evacuations;
	/** Whether an order would change nothing: it was applied before, or the availability zone is in the ordered state. */
	isRedundant(order: EvacuationOrder): boolean;
	apply(order: EvacuationOrder): void;
	/** Gets the state for a snapshot; undefined before the first order. */
	findState(): EvacuationState | undefined;
	setState(state: EvacuationState | undefined): void;
};

/** An order is resent for a few seconds only, and operators give few of them. */
const maxRememberedOrders = 128;
const initialState: EvacuationState = {revision: 0, availabilityZones: [], requestIds: []};

/** Creates a state machine without evacuated availability zones. */
export function createEvacuationMachine(): EvacuationMachine {
	let state = initialState;

	function isRedundant({requestId, availabilityZone, isEvacuated}: EvacuationOrder): boolean {
		return state.requestIds.includes(requestId) || state.availabilityZones.includes(availabilityZone) === isEvacuated;
	}

	function getNextZones({availabilityZone, isEvacuated}: EvacuationOrder): string[] {
		const others = state.availabilityZones.filter(zone => zone !== availabilityZone);
		return isEvacuated ? [...others, availabilityZone] : others;
	}

	return {
		getEvacuations: () => ({revision: state.revision, availabilityZones: state.availabilityZones}),
		isRedundant,
		apply(order) {
			const isChange = !isRedundant(order);
			state = {
				revision: state.revision + (isChange ? 1 : 0),
				availabilityZones: isChange ? getNextZones(order) : state.availabilityZones,
				requestIds: [...state.requestIds.filter(id => id !== order.requestId), order.requestId].slice(-maxRememberedOrders),
			};
		},
		findState: () => (state === initialState ? undefined : state),
		setState(next) {
			state = next ?? initialState;
		},
	};
}
