import type {TimerSubscription} from '@camphortack/core';
import type {KeeperCore} from './keeper-core.js';
import type {KeeperMessageOf} from './keeper-messages.js';
import {getMajority} from './keeper-set.js';

/** Raft leader election with pre-vote. Votes are synced before they are answered, and requests are rejected while the leader is alive (leader stickiness). */
export type Election = {
	/** Starts the election timer. */
	start(): void;
	/** Resets the election timeout and cancels a running campaign, since the leader is alive. */
	handleLeaderContact(): void;
	/** Requests votes immediately, for a cluster that has not had a leader yet. */
	startCampaign(): void;
	/** Requests votes immediately, because the leader of the term is transferring its leadership. */
	handleTimeoutNow(message: KeeperMessageOf<'consensus.timeout-now'>): void;
	handleVoteRequest(fromPeerId: string, message: KeeperMessageOf<'consensus.vote-request'>): void;
	handleVoteAnswer(message: KeeperMessageOf<'consensus.vote-answer'>): void;
	stop(): void;
};

type Campaign = {
	askedTerm: number;
	isPreVote: boolean;
	isTransfer: boolean;
	/** The identities that granted a vote. */
	granted: Set<string>;
};

/**
 * Creates the election component of a keeper.
 * @param core - The keeper's shared state.
 * @param onElected - Called when this keeper has won an election.
 */
export function createElection(core: KeeperCore, onElected: () => void): Election {
	const {store, options} = core;
	const {maxElectionTimeoutMs, minElectionTimeoutMs} = core.timings;
	const {timers, random, metrics} = options;
	let campaign: Campaign | undefined;
	let deadlineMs = 0;
	let timer: TimerSubscription | undefined;

	/** A keeper that leaves starts an election only after the others had the time to. */
	function resetDeadline(): void {
		const spreadMs = maxElectionTimeoutMs - minElectionTimeoutMs;
		const delayMs = core.isLeaving ? maxElectionTimeoutMs : 0;
		deadlineMs = timers.getNowMs() + delayMs + minElectionTimeoutMs + (random.getFraction() * spreadMs);
	}

	function scheduleDeadlineCheck(): void {
		timer = timers.addTimer(Math.max(1, deadlineMs - timers.getNowMs()), () => {
			if (timers.getNowMs() >= deadlineMs) {
				startElectionIfEligible();
				resetDeadline();
			}

			scheduleDeadlineCheck();
		});
	}

	function startElectionIfEligible(): void {
		if (core.role !== 'leader' && core.isVoter()) {
			startCampaign(true, false);
		}
	}

	function startCampaign(isPreVote: boolean, isTransfer: boolean): void {
		const askedTerm = store.getTerm() + 1;
		campaign = {
			askedTerm,
			isPreVote,
			isTransfer,
			granted: new Set(),
		};
		core.leaderId = undefined;
		core.leaderIdentity = undefined;
		if (isPreVote) {
			requestVotes(campaign);
			return;
		}

		core.role = 'candidate';
		metrics.increment('consensus-elections');
		const started = campaign;
		store.setTerm(askedTerm, store.getIdentity(), () => {
			if (campaign === started && store.getTerm() === askedTerm) {
				requestVotes(started);
			}
		});
	}

	function requestVotes(activeCampaign: Campaign): void {
		const lastIndex = store.getLastIndex();
		for (const keeper of core.getVoters()) {
			if (keeper.identity !== store.getIdentity()) {
				core.send(keeper.keeperId, {
					kind: 'consensus.vote-request',
					...core.getMessageHeader(keeper.identity),
					term: activeCampaign.askedTerm,
					lastIndex,
					lastTerm: store.findTermAt(lastIndex) ?? 0,
					isPreVote: activeCampaign.isPreVote,
					isTransfer: activeCampaign.isTransfer,
				});
			}
		}

		addVote(activeCampaign, store.getIdentity());
	}

	function addVote(activeCampaign: Campaign, identity: string): void {
		const voters = core.getVoters();
		activeCampaign.granted.add(identity);
		const count = voters.filter(keeper => activeCampaign.granted.has(keeper.identity)).length;
		if (count < getMajority(voters.length)) {
			return;
		}

		campaign = undefined;
		if (activeCampaign.isPreVote) {
			startCampaign(false, activeCampaign.isTransfer);
		} else {
			core.role = 'leader';
			onElected();
		}
	}

	function isLeaderAlive(): boolean {
		const elapsedMs = timers.getNowMs() - core.lastLeaderContactMs;
		return core.role === 'leader' || (core.leaderId !== undefined && elapsedMs < minElectionTimeoutMs);
	}

	function isLogUpToDate(message: KeeperMessageOf<'consensus.vote-request'>): boolean {
		const lastIndex = store.getLastIndex();
		const lastTerm = store.findTermAt(lastIndex) ?? 0;
		return message.lastTerm > lastTerm || (message.lastTerm === lastTerm && message.lastIndex >= lastIndex);
	}

	function canGrantVote(message: KeeperMessageOf<'consensus.vote-request'>): boolean {
		if (message.isPreVote) {
			return message.term > store.getTerm() && isLogUpToDate(message);
		}

		const votedFor = store.getVotedFor();
		const isVoteAvailable = votedFor === undefined || votedFor === message.fromIdentity;
		return message.term === store.getTerm() && isVoteAvailable && isLogUpToDate(message);
	}

	function sendAnswer(fromPeerId: string, message: KeeperMessageOf<'consensus.vote-request'>, isGranted: boolean): void {
		core.send(fromPeerId, {
			kind: 'consensus.vote-answer',
			...core.getMessageHeader(message.fromIdentity),
			askedTerm: message.term,
			isPreVote: message.isPreVote,
			isGranted,
		});
	}

	function grantVote(fromPeerId: string, message: KeeperMessageOf<'consensus.vote-request'>): void {
		resetDeadline();
		store.setTerm(message.term, message.fromIdentity, () => {
			if (!core.isStopped && store.getTerm() === message.term) {
				sendAnswer(fromPeerId, message, true);
			}
		});
	}

	return {
		start() {
			resetDeadline();
			scheduleDeadlineCheck();
			if (core.getVoters().length === 1) {
				startElectionIfEligible();
			}
		},
		startCampaign: startElectionIfEligible,
		handleLeaderContact() {
			campaign = undefined;
			resetDeadline();
		},
		handleTimeoutNow({term}) {
			if (term === store.getTerm() && core.isVoter() && core.role !== 'leader') {
				startCampaign(false, true);
			}
		},
		handleVoteRequest(fromPeerId, message) {
			if (!message.isTransfer && isLeaderAlive()) {
				sendAnswer(fromPeerId, message, false);
				return;
			}

			if (!message.isPreVote && message.term > store.getTerm()) {
				campaign = undefined;
				core.becomeFollower(message.term);
			}

			if (!canGrantVote(message)) {
				sendAnswer(fromPeerId, message, false);
			} else if (message.isPreVote) {
				sendAnswer(fromPeerId, message, true);
			} else {
				grantVote(fromPeerId, message);
			}
		},
		handleVoteAnswer(message) {
			if (message.term > store.getTerm() && !message.isGranted) {
				campaign = undefined;
				core.becomeFollower(message.term);
				return;
			}

			if (campaign?.askedTerm === message.askedTerm && campaign.isPreVote === message.isPreVote && message.isGranted) {
				addVote(campaign, message.fromIdentity);
			}
		},
		stop() {
			timer?.cancel();
		},
	};
}
