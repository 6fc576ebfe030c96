import type {ConfigurationMachine} from '../publish/configuration-machine.js';
import type {KeeperMessage} from './keeper-messages.js';
import type {KeeperOptions} from './keeper-options.js';
import {getVoters, type KeeperRecord} from './keeper-set.js';
import {defaultKeeperTimings, type KeeperTimings} from './keeper-timings.js';
import type {KeeperStore} from './keeper-store.js';

/** The state that the components of a keeper share. */
export type KeeperCore = {
	readonly options: KeeperOptions;
	readonly store: KeeperStore;
	readonly machine: ConfigurationMachine;
	readonly timings: KeeperTimings;
	role: 'follower' | 'candidate' | 'leader';
	leaderId: string | undefined;
	leaderIdentity: string | undefined;
	/** When the last message of the leader arrived. */
	lastLeaderContactMs: number;
	isStopped: boolean;
	isLeaving: boolean;
	send(keeperId: string, message: KeeperMessage): void;
	/** Gets the header fields of a message to an identity. */
	getMessageHeader(toIdentity: string): {term: number; fromIdentity: string; toIdentity: string};
	getVoters(): readonly KeeperRecord[];
	/** Gets the keepers of the set without this one. */
	getOtherKeepers(): readonly KeeperRecord[];
	isVoter(): boolean;
	/** Becomes a follower, of a leader if one is known, in the current term or a later one. */
	becomeFollower(term: number, leader?: {keeperId: string; identity: string}): void;
};

export type KeeperCoreOptions = {
	options: KeeperOptions;
	store: KeeperStore;
	machine: ConfigurationMachine;
	/** Called after this keeper has lost the leader role. */
	onStepDown: () => void;
};

/**
 * Creates the shared state of a keeper, as a follower without a leader.
 * @param coreOptions - The options, the store and the state machine of the keeper.
 */
export function createKeeperCore(coreOptions: KeeperCoreOptions): KeeperCore {
	const {options, store, machine, onStepDown} = coreOptions;
	const {peers, timers, events} = options;

	const core: KeeperCore = {
		options,
		store,
		machine,
		timings: options.timings ?? defaultKeeperTimings,
		role: 'follower',
		leaderId: undefined,
		leaderIdentity: undefined,
		lastLeaderContactMs: timers.getNowMs(),
		isStopped: false,
		isLeaving: false,
		send(keeperId, message) {
			peers.send(keeperId, message);
		},
		getMessageHeader: toIdentity => ({term: store.getTerm(), fromIdentity: store.getIdentity(), toIdentity}),
		getVoters: () => getVoters(store.getKeepers()),
		getOtherKeepers: () => store.getKeepers().filter(keeper => keeper.identity !== store.getIdentity()),
		isVoter: () => core.getVoters().some(keeper => keeper.identity === store.getIdentity()),
		becomeFollower(term, leader) {
			if (term > store.getTerm()) {
				store.setTerm(term, undefined);
			}

			const wasLeader = core.role === 'leader';
			core.role = 'follower';
			core.leaderId = leader?.keeperId;
			core.leaderIdentity = leader?.identity;
			if (leader !== undefined) {
				core.lastLeaderContactMs = timers.getNowMs();
			}

			if (wasLeader) {
				events.write('leader-stepped-down', {term});
				onStepDown();
			}
		},
	};
	return core;
}
