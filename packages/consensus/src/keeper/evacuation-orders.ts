import type {EvacuationOrder, EvacuationResult} from '../publish/evacuation-schemas.js';
import {createRequestForwarder, type SendDecision} from '../publish/request-forwarder.js';
import type {KeeperCore} from './keeper-core.js';
import type {KeeperMessageOf} from './keeper-messages.js';
import type {LogEntry} from './log-entry.js';
import {createRecentIds} from './recent-ids.js';
import type {Replication} from './replication.js';

/** Brings the evacuation orders of operators to the leader, and replicates them there. */
export type EvacuationOrders = {
	/**
	 * Stores an order through consensus; calls back once, within a bounded time, unless the keeper is stopped. `decideSend`
	 * is called before each send.
	 */
	setEvacuation(
		availabilityZone: string, isEvacuated: boolean, onResult: (result: EvacuationResult) => void, decideSend?: () => SendDecision,
	): void;
	handleMessage(fromPeerId: string, message: KeeperMessageOf<'consensus.set-evacuation' | 'consensus.set-evacuation-result'>): void;
	handleApplied(entry: LogEntry): void;
	/** Discards the orders in flight, since this keeper is no longer the leader. */
	reset(): void;
	stop(): void;
};

/** As many as the state keeps of the orders that changed something. */
const maxRedundantIds = 128;

type InFlightOrder = {
	order: EvacuationOrder;
	callbacks: Array<(result: EvacuationResult) => void>;
};

/**
 * Creates the component of a keeper. An order that changes nothing is not written; it is acknowledged after a barrier. An
 * order for an availability zone that another one in flight concerns is always written, since that one comes first.
 * @param core - The keeper's shared state.
 * @param replication - Replicates the entries.
 */
export function createEvacuationOrders(core: KeeperCore, replication: Replication): EvacuationOrders {
	const {timers, random} = core.options;
	const {evacuations} = core.machine;
	const inFlight = new Map<number, InFlightOrder>();
	/** Orders that changed nothing when they arrived. A delayed duplicate must not take effect after a later opposite order. */
	const redundantIds = createRecentIds(maxRedundantIds);
	const forwarder = createRequestForwarder<Omit<EvacuationOrder, 'requestId'>, EvacuationResult>({
		timers,
		random,
		resendMs: core.timings.documentResendMs,
		timeoutMs: core.timings.documentTimeoutMs,
		timeoutResult: {outcome: 'no-majority'},
		send(requestId, order) {
			sendOrder({requestId, ...order});
		},
	});

	function sendOrder(order: EvacuationOrder): void {
		if (core.role === 'leader') {
			handleOrder(order, result => {
				forwarder.handleResult(order.requestId, result);
			});
		} else if (core.leaderId !== undefined) {
			core.send(core.leaderId, {kind: 'consensus.set-evacuation', order});
		}
	}

	function handleOrder(order: EvacuationOrder, onResult: (result: EvacuationResult) => void): void {
		if (!replication.acceptsProposals()) {
			return;
		}

		const ordersInFlight = [...inFlight.values()];
		const duplicate = ordersInFlight.find(entry => entry.order.requestId === order.requestId);
		const isOtherInFlight = ordersInFlight.some(entry => entry.order.availabilityZone === order.availabilityZone);
		if (duplicate !== undefined) {
			duplicate.callbacks.push(onResult);
		} else if (redundantIds.has(order.requestId) || (!isOtherInFlight && evacuations.isRedundant(order))) {
			redundantIds.add(order.requestId);
			acknowledgeAfterBarrier(onResult);
		} else {
			const index = replication.append({type: 'set-evacuation', order});
			inFlight.set(index, {order, callbacks: [onResult]});
		}
	}

	/** A leader that was replaced without knowing it must not respond from its own, possibly stale, state. */
	function acknowledgeAfterBarrier(onResult: (result: EvacuationResult) => void): void {
		const {revision} = evacuations.getEvacuations();
		replication.addBarrier(() => {
			onResult({outcome: 'stored', revision});
		});
	}

	return {
		setEvacuation(availabilityZone, isEvacuated, onResult, decideSend) {
			forwarder.submit({availabilityZone, isEvacuated}, onResult, decideSend);
		},
		handleMessage(fromPeerId, message) {
			if (message.kind === 'consensus.set-evacuation-result') {
				forwarder.handleResult(message.requestId, message.result);
			} else if (core.role === 'leader') {
				const {order} = message;
				handleOrder(order, result => {
					core.send(fromPeerId, {kind: 'consensus.set-evacuation-result', requestId: order.requestId, result});
				});
			}
		},
		handleApplied({index}) {
			const ended = inFlight.get(index);
			inFlight.delete(index);
			const {revision} = evacuations.getEvacuations();
			for (const onResult of ended?.callbacks ?? []) {
				onResult({outcome: 'stored', revision});
			}
		},
		reset() {
			inFlight.clear();
			redundantIds.clear();
		},
		stop: forwarder.stop,
	};
}
