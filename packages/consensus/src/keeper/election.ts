import type {TimerSubscription} from '@camphortack/core';
import type {KeeperCore} from './keeper-core.js';
import type {KeeperMessageOf} from './keeper-messages.js';
import {getMajority} from './keeper-set.js';

/** Elects leaders: pre-vote, votes that are synced before they are answered, and stickiness to a live leader. */
export type Election = {
	/** Starts to watch for a silent leader. */
	start(): void;
	/** Puts the next election off, since the leader was heard. */
	addLeaderContact(): void;
	/** Asks for votes at once, since there has been no leader yet. */
	startCampaign(): void;
	/** Asks for votes at once, since the leader itself wants to hand over. */
	startTransfer(): void;
	handleVoteRequest(fromPeerId: string, message: KeeperMessageOf<'consensus.vote-request'>): void;
	handleVoteAnswer(message: KeeperMessageOf<'consensus.vote-answer'>): void;
	stop(): void;
};

type Campaign = {
	askedTerm: number;
	isPreVote: boolean;
	isTransfer: boolean;
	/** The identities that granted their vote. */
	granted: Set<string>;
};

/**
 * Creates the election part of a keeper.
 * @param core - The keeper's shared state.
 * @param onElected - Called when this keeper has won an election.
 */
export function createElection(core: KeeperCore, onElected: () => void): Election {
	const {store, options} = core;
	const {maxElectionTimeoutMs: longestElectionTimeoutMs, minElectionTimeoutMs: shortestElectionTimeoutMs} = core.timings;
	const {timers, random, metrics} = options;
	let campaign: Campaign | undefined;
	let deadlineMs = 0;
	let timer: TimerSubscription | undefined;

	function postpone(): void {
		const spreadMs = longestElectionTimeoutMs - shortestElectionTimeoutMs;
		deadlineMs = timers.getNowMs() + shortestElectionTimeoutMs + (random.getFraction() * spreadMs);
	}

	function watch(): void {
		timer = timers.addTimer(Math.max(1, deadlineMs - timers.getNowMs()), () => {
			if (timers.getNowMs() >= deadlineMs) {
				handleSilence();
				postpone();
			}

			watch();
		});
	}

	function handleSilence(): void {
		if (core.role !== 'leader' && core.isVoter() && !core.isLeaving) {
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
			askForVotes(campaign);
			return;
		}

		core.role = 'candidate';
		metrics.increment('consensus-elections');
		const started = campaign;
		store.setTerm(askedTerm, store.getIdentity(), () => {
			if (campaign === started && store.getTerm() === askedTerm) {
				askForVotes(started);
			}
		});
	}

	function askForVotes(asked: Campaign): void {
		const lastIndex = store.getLastIndex();
		for (const keeper of core.getVoters()) {
			if (keeper.identity !== store.getIdentity()) {
				core.send(keeper.keeperId, {
					kind: 'consensus.vote-request',
					...core.getAddress(keeper.identity),
					term: asked.askedTerm,
					lastIndex,
					lastTerm: store.findTermAt(lastIndex) ?? 0,
					isPreVote: asked.isPreVote,
					isTransfer: asked.isTransfer,
				});
			}
		}

		addVote(asked, store.getIdentity());
	}

	function addVote(asked: Campaign, identity: string): void {
		const voters = core.getVoters();
		asked.granted.add(identity);
		const count = voters.filter(keeper => asked.granted.has(keeper.identity)).length;
		if (count < getMajority(voters.length)) {
			return;
		}

		campaign = undefined;
		if (asked.isPreVote) {
			startCampaign(false, asked.isTransfer);
		} else {
			core.role = 'leader';
			onElected();
		}
	}

	function isLeaderAlive(): boolean {
		const silenceMs = timers.getNowMs() - core.leaderHeardAtMs;
		return core.role === 'leader' || (core.leaderId !== undefined && silenceMs < shortestElectionTimeoutMs);
	}

	function isLogCurrent(message: KeeperMessageOf<'consensus.vote-request'>): boolean {
		const lastIndex = store.getLastIndex();
		const lastTerm = store.findTermAt(lastIndex) ?? 0;
		return message.lastTerm > lastTerm || (message.lastTerm === lastTerm && message.lastIndex >= lastIndex);
	}

	function mayGrant(message: KeeperMessageOf<'consensus.vote-request'>): boolean {
		if (message.isPreVote) {
			return message.term > store.getTerm() && isLogCurrent(message);
		}

		const votedFor = store.getVotedFor();
		const isFree = votedFor === undefined || votedFor === message.fromIdentity;
		return message.term === store.getTerm() && isFree && isLogCurrent(message);
	}

	function answer(fromPeerId: string, message: KeeperMessageOf<'consensus.vote-request'>, isGranted: boolean): void {
		core.send(fromPeerId, {
			kind: 'consensus.vote-answer',
			...core.getAddress(message.fromIdentity),
			askedTerm: message.term,
			isPreVote: message.isPreVote,
			isGranted,
		});
	}

	function grantVote(fromPeerId: string, message: KeeperMessageOf<'consensus.vote-request'>): void {
		postpone();
		store.setTerm(message.term, message.fromIdentity, () => {
			if (!core.isStopped && store.getTerm() === message.term) {
				answer(fromPeerId, message, true);
			}
		});
	}

	return {
		start() {
			postpone();
			watch();
			if (core.getVoters().length === 1) {
				handleSilence();
			}
		},
		startCampaign: handleSilence,
		addLeaderContact() {
			campaign = undefined;
			postpone();
		},
		startTransfer() {
			if (core.isVoter() && core.role !== 'leader') {
				startCampaign(false, true);
			}
		},
		handleVoteRequest(fromPeerId, message) {
			if (!message.isTransfer && isLeaderAlive()) {
				answer(fromPeerId, message, false);
				return;
			}

			if (!message.isPreVote && message.term > store.getTerm()) {
				campaign = undefined;
				core.becomeFollower(message.term);
			}

			if (!mayGrant(message)) {
				answer(fromPeerId, message, false);
			} else if (message.isPreVote) {
				answer(fromPeerId, message, true);
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
