import type {TimerSubscription} from '@camphortack/core';
import type {KeeperCore} from './keeper-core.js';
import type {KeeperMessageOf} from './keeper-messages.js';
import {getVoterTarget, type KeeperRecord} from './keeper-set.js';
import {defaultMaxVoters} from './keeper-timings.js';

/** Makes a keeper a member of a cluster: bootstraps the cluster once, or asks an existing one to add the keeper. */
export type Bootstrap = {
	start(): void;
	setKnownKeepers(keeperIds: readonly string[]): void;
	handleRequest(fromPeerId: string, message: KeeperMessageOf<'consensus.bootstrap-request'>): void;
	handleAnswer(fromPeerId: string, message: KeeperMessageOf<'consensus.bootstrap-answer'>): void;
	stop(): void;
};

const clusterIdLength = 16;

/**
 * Creates the bootstrap component of a keeper. Only the keeper with the smallest id of the initial list may bootstrap the
 * cluster, and only after every keeper of the list has stored its binding to this cluster; a keeper that belongs to another cluster refuses.
 * @param core - The keeper's shared state.
 * @param onFormed - Called when the first entry of the cluster is durable on this keeper.
 */
export function createBootstrap(core: KeeperCore, onFormed: () => void): Bootstrap {
	const {store, options} = core;
	const {ownId, timers, random} = options;
	const initialKeeperIds = options.initialKeeperIds.toSorted();
	const participants = new Map<string, KeeperRecord>();
	let isBootstrapping = (options.canBootstrap ?? true) && initialKeeperIds[0] === ownId && store.getLastIndex() === 0 && store.getTerm() === 0;
	let knownKeeperIds = initialKeeperIds;
	let timer: TimerSubscription | undefined;

	function bindToOwnCluster(): void {
		const binding = store.getBinding();
		if (binding !== undefined && binding.bootstrapperId !== ownId) {
			isBootstrapping = false;
			return;
		}

		const ownBinding = binding ?? {clusterId: random.getIdentifier().slice(0, clusterIdLength), bootstrapperId: ownId};
		store.setBinding(ownBinding, () => {
			addParticipant(ownId, store.getIdentity(), options.availabilityZone);
		});
	}

	function addParticipant(keeperId: string, identity: string, availabilityZone: string): void {
		if (!isBootstrapping || core.isStopped) {
			return;
		}

		participants.set(keeperId, {
			keeperId,
			identity,
			availabilityZone,
			role: 'learner',
		});
		if (initialKeeperIds.every(id => participants.has(id))) {
			formCluster();
		}
	}

	function formCluster(): void {
		isBootstrapping = false;
		const voterCount = getVoterTarget(initialKeeperIds.length, options.maxVoters ?? defaultMaxVoters);
		const keepers = initialKeeperIds.map((id, position) => ({...participants.get(id)!, role: position < voterCount ? 'voter' as const : 'learner' as const}));
		store.setTerm(1, undefined);
		store.appendEntries([{index: 1, term: 1, command: {type: 'set-keepers', keepers}}], onFormed);
	}

	function sendRequests(): void {
		if (store.getKeepers().some(keeper => keeper.identity === store.getIdentity())) {
			timer?.cancel();
			return;
		}

		for (const keeperId of knownKeeperIds) {
			if (keeperId !== ownId) {
				requestMembership(keeperId);
			}
		}
	}

	function requestMembership(keeperId: string): void {
		const binding = store.getBinding();
		if (isBootstrapping && initialKeeperIds.includes(keeperId)) {
			core.send(keeperId, {kind: 'consensus.bootstrap-request', clusterId: binding!.clusterId});
		}

		core.send(keeperId, {
			kind: 'consensus.join',
			identity: store.getIdentity(),
			availabilityZone: options.availabilityZone,
			clusterId: binding?.bootstrapperId === undefined ? binding?.clusterId : undefined,
		});
	}

	/** Whether this keeper can still join the cluster that another keeper is bootstrapping. */
	function canJoinCluster(bootstrapperId: string, clusterId: string): boolean {
		const binding = store.getBinding();
		if (binding?.clusterId === clusterId) {
			return true;
		}

		const isEmpty = store.getLastIndex() === 0 && store.getTerm() === 0;
		return isEmpty && (binding === undefined || binding.bootstrapperId === bootstrapperId);
	}

	function sendAnswer(peerId: string, clusterId: string, isBound: boolean): void {
		core.send(peerId, {
			kind: 'consensus.bootstrap-answer',
			clusterId,
			identity: store.getIdentity(),
			availabilityZone: options.availabilityZone,
			isBound,
		});
	}

	return {
		start() {
			if (isBootstrapping) {
				bindToOwnCluster();
			}

			timer = timers.addInterval(core.timings.joinIntervalMs, sendRequests);
			sendRequests();
		},
		setKnownKeepers(keeperIds) {
			knownKeeperIds = [...new Set([...initialKeeperIds, ...keeperIds])];
		},
		handleRequest(fromPeerId, message) {
			if (!canJoinCluster(fromPeerId, message.clusterId)) {
				sendAnswer(fromPeerId, message.clusterId, true);
				return;
			}

			store.setBinding({clusterId: message.clusterId, bootstrapperId: fromPeerId}, () => {
				if (!core.isStopped) {
					sendAnswer(fromPeerId, message.clusterId, false);
				}
			});
		},
		handleAnswer(fromPeerId, message) {
			if (message.isBound) {
				isBootstrapping = false;
			} else if (message.clusterId === store.getBinding()?.clusterId) {
				addParticipant(fromPeerId, message.identity, message.availabilityZone);
			}
		},
		stop() {
			timer?.cancel();
		},
	};
}
