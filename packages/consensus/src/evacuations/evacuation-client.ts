import type {
	Member, MetricSink, PeerMessage, PeerNetwork, RandomSource, TimerService,
} from '@camphortack/core';
import type {ConfigurationFollower} from '../follower/follower-options.js';
import {evacuationResendMs, evacuationSupportTimeoutMs, evacuationTimeoutMs} from '../follower/follower-timings.js';
import type {Keeper} from '../keeper/keeper-options.js';
import type {EvacuationOrder, EvacuationResult} from '../publish/evacuation-schemas.js';
import {createRequestForwarder, type SendDecision} from '../publish/request-forwarder.js';
import {clientMessageSchema, type ClientMessage, type EvacuationMessage} from './evacuation-messages.js';
import {createSupportCheck} from './support-check.js';

/** The result of an order that was given to any daemon. */
export type EvacuationOrderResult
	= | EvacuationResult
	/** Live daemons did not confirm that they know evacuations. Nothing was stored. */
		| {outcome: 'unconfirmed'; daemonIds: string[]};

export type EvacuationClientOptions = {
	ownId: string;
	/** The ids of the daemons that the settings name, with or without this one. */
	seedIds?: readonly string[];
	peers: PeerNetwork;
	timers: TimerService;
	random: RandomSource;
	metrics: MetricSink;
	/** Holds the evacuations of this daemon. */
	follower: Pick<ConfigurationFollower, 'getEvacuations' | 'setEvacuations'>;
	/** The keeper in the same process, if there is one. It brings orders to the leader then. */
	keeper: Pick<Keeper, 'setEvacuation'> | undefined;
};

/** A check of the support that takes longer shows that this process was suspended. */
const maxSupportCheckMs = evacuationSupportTimeoutMs + evacuationResendMs;

/** Lets any daemon give orders to evacuate an availability zone, and exchanges what the keepers' log does not cover. */
export type EvacuationClient = {
	/** Handles a peer message whose kind starts with `evacuations.`, and on a daemon without a keeper `consensus.`. */
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
	setMembers(members: readonly Member[]): void;
	/**
	 * Stores an order through the keepers. `onResult` is called once, within a bounded time, unless the client is stopped. An
	 * order that `isWanted` no longer confirms is not sent again: its operator may have withdrawn it through another daemon.
	 */
	setEvacuation(
		availabilityZone: string, isEvacuated: boolean, onResult: (result: EvacuationOrderResult) => void, isWanted?: () => boolean,
	): void;
	stop(): void;
};

/**
 * Creates the client. Without a keeper in the same process, an order goes to all keepers under one request id: the leader
 * stores it, and the others ignore it.
 * @param options - The id of the daemon and its dependencies.
 */
export function createEvacuationClient(options: EvacuationClientOptions): EvacuationClient {
	const {
		ownId, peers, timers, random, metrics, follower, keeper,
	} = options;
	let keepers: readonly Member[] = [];

	function send(peerId: string, message: EvacuationMessage): void {
		peers.send(peerId, message);
	}

	const supportCheck = createSupportCheck({
		ownId, seedIds: options.seedIds ?? [], timers, send,
	});
	const forwarder = createRequestForwarder<Omit<EvacuationOrder, 'requestId'>, EvacuationResult>({
		timers,
		random,
		resendMs: evacuationResendMs,
		timeoutMs: evacuationTimeoutMs,
		timeoutResult: {outcome: 'no-majority'},
		send(requestId, order) {
			peers.sendToAll(keepers.map(({id}) => id), {kind: 'consensus.set-evacuation', order: {requestId, ...order}});
		},
	});

	/** A daemon of an earlier version may have joined since the check, so an evacuation waits until all have confirmed again. */
	function decideSendOf(isEvacuated: boolean, isWanted: () => boolean): SendDecision {
		if (!isWanted()) {
			return 'end';
		}

		return isEvacuated && !supportCheck.recheck() ? 'wait' : 'send';
	}

	function store(availabilityZone: string, isEvacuated: boolean, onResult: (result: EvacuationResult) => void, isWanted = () => true): void {
		const decideSend = () => decideSendOf(isEvacuated, isWanted);
		if (keeper === undefined) {
			forwarder.submit({availabilityZone, isEvacuated}, onResult, decideSend);
		} else {
			keeper.setEvacuation(availabilityZone, isEvacuated, onResult, decideSend);
		}
	}

	function handle(fromPeerId: string, message: ClientMessage): void {
		switch (message.kind) {
			case 'evacuations.support-request': {
				send(fromPeerId, {kind: 'evacuations.support'});
				break;
			}

			case 'evacuations.support': {
				supportCheck.handleSupport(fromPeerId);
				break;
			}

			case 'evacuations.known': {
				follower.setEvacuations(message.evacuations);
				break;
			}

			case 'consensus.set-evacuation-result': {
				forwarder.handleResult(message.requestId, message.result);
				break;
			}
		}
	}

	/** A keeper that was down during the first order may serve jobs from its disk before the log has reached it. */
	function informJoinedKeepers(members: readonly Member[]): void {
		const incarnations = new Map(keepers.map(({id, incarnation}) => [id, incarnation]));
		keepers = members.filter(member => member.roles.includes('keeper'));
		const evacuations = follower.getEvacuations();
		if (keeper !== undefined && evacuations.revision > 0) {
			for (const {id} of keepers.filter(other => other.id !== ownId && incarnations.get(other.id) !== other.incarnation)) {
				send(id, {kind: 'evacuations.known', evacuations});
			}
		}
	}

	return {
		handlePeerMessage(fromPeerId, message) {
			const parsed = clientMessageSchema.safeParse(message);
			if (parsed.success) {
				handle(fromPeerId, parsed.data);
			} else {
				metrics.increment('peer-malformed');
			}
		},
		setMembers(members) {
			supportCheck.setMembers(members);
			informJoinedKeepers(members);
		},
		setEvacuation(availabilityZone, isEvacuated, onResult, isWanted) {
			if (!isEvacuated) {
				// A withdrawal does no harm beside an earlier version: the log already has the evacuation, which that version does not obey.
				store(availabilityZone, isEvacuated, onResult, isWanted);
				return;
			}

			const startedMs = timers.getNowMs();
			supportCheck.check(daemonIds => {
				if (daemonIds.length > 0) {
					onResult({outcome: 'unconfirmed', daemonIds});
				} else if (timers.getNowMs() - startedMs > maxSupportCheckMs) {
					// This process was suspended, and may not have noticed yet that the operator has given up.
					onResult({outcome: 'no-majority'});
				} else {
					store(availabilityZone, isEvacuated, onResult, isWanted);
				}
			});
		},
		stop() {
			supportCheck.stop();
			forwarder.stop();
		},
	};
}
