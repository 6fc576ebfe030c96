import {
	nonKeeperDelayMs, maxElectionGapMs, memberTimeoutMs, supersededInMinorityDelayMs, supersededDelayMs, minCandidateUptimeWithAllSeedsMs, minCandidateUptimeMs, placerTimeoutMs, startTimeToleranceMs, termIncrement,
} from '../cluster-timings.js';
import type {ClusterOptions} from '../cluster-options.js';
import type {ClusterMember, MemberTable} from '../members/member-table.js';
import type {LocalPlacer} from '../placing/local-placer.js';
import type {ShardMap} from '../shards/shard-map.js';
import {findClaimReason, type ElectionParticipant} from './find-claim-reason.js';
import {getClaimableZones, hasAliveMajority, type ZoneVoter} from './get-claimable-zones.js';
import {isNewerView, type PlacerView} from './placer-view.js';

/** Follows the placer with the highest term, and becomes the placer where one is missing. */
export type PlacerElection = {
	getView(): PlacerView;
	hearsPlacer(): boolean;
	/** Takes a view of another daemon if it is newer. */
	handleView(view: PlacerView, toldById: string): void;
	/** Gets the availability zones whose backend servers this daemon may claim. */
	getClaimableZones(): Set<string>;
	/** Looks at the members, and takes over if this daemon should. */
	elect(): void;
	/** Begins without a placer in a shard of its own. */
	divide(): void;
	startLeaving(): void;
	isLeaving(): boolean;
};

export type PlacerElectionOptions = Pick<ClusterOptions, 'ownId' | 'availabilityZone' | 'isKeeper' | 'timers' | 'events' | 'metrics'> & {
	members: MemberTable;
	shards: ShardMap;
	localPlacer: LocalPlacer;
	/** The highest term known from before a restart. */
	initialTerm: number;
	/** Called after another placer is followed, this daemon included. */
	onPlacerChange: () => void;
	/** Called after this daemon has begun a term, before anybody is told. */
	onElected: () => void;
};

/**
 * Creates the election.
 * @param options - The daemon and what it knows of the others.
 */
export function createPlacerElection(options: PlacerElectionOptions): PlacerElection {
	const {ownId, availabilityZone, isKeeper, timers, events, metrics, members, shards, localPlacer} = options;
	const startedAtMs = timers.getNowMs();
	let view: PlacerView = {term: options.initialTerm, placerId: ''};
	let isLeaving = false;
	let lastElectionAtMs = startedAtMs;
	let followedAtMs = Number.NEGATIVE_INFINITY;
	let supersededSinceMs: number | undefined;

	/**
	 * A placer that has just been heard of counts as heard for a while, until its own heartbeats come. One whose
	 * heartbeats say that it does not place has restarted.
	 */
	function hearsPlacer(): boolean {
		if (view.placerId === ownId || view.placerId === '') {
			return view.placerId === ownId;
		}

		const isPlacing = members.findMember(view.placerId)?.placerId === view.placerId;
		return timers.getNowMs() - followedAtMs < placerTimeoutMs || (isPlacing && members.getSilenceMs(view.placerId) < placerTimeoutMs);
	}

	function follow(next: PlacerView, toldById: string): void {
		const previous = view;
		view = next;
		followedAtMs = timers.getNowMs();
		events.write('placer-followed', {
			term: next.term, placer: next.placerId, toldBy: toldById, previousTerm: previous.term, previousPlacer: previous.placerId,
		});
		if (previous.placerId === ownId && next.placerId !== ownId) {
			localPlacer.stop(`daemon ${next.placerId} places in term ${next.term}`);
		}

		options.onPlacerChange();
	}

	/** The others still follow this daemon from before its restart. Its term is over, and nobody places. */
	function handleOwnFormerTerm(term: number, toldById: string): void {
		if (term > view.term) {
			follow({term, placerId: ''}, toldById);
		}
	}

	/** Before the first placer, keepers get the chance to begin; they are preferred. */
	function isSettled(upMs: number, isKeeperDaemon: boolean): boolean {
		const minimumUpMs = members.hearsAllSeeds() ? minCandidateUptimeWithAllSeedsMs : minCandidateUptimeMs;
		return upMs >= minimumUpMs + (isKeeperDaemon || view.placerId !== '' ? 0 : nonKeeperDelayMs);
	}

	function getParticipant(member: ClusterMember): ElectionParticipant {
		return {
			id: member.id,
			isKeeper: member.isKeeper,
			isLeaving: member.isLeaving,
			isWarmedUp: isSettled(member.upMs + members.getSilenceMs(member.id) + startTimeToleranceMs, member.isKeeper),
			hearsPlacer: member.hearsPlacer && member.placerId === view.placerId,
		};
	}

	function getVoters(): ZoneVoter[] {
		const counted = members.getCountedMembers().filter(member => !shards.isDivided() || member.availabilityZone === availabilityZone);
		const others = counted.map(member => ({
			availabilityZone: member.availabilityZone, isAlive: members.getSilenceMs(member.id) < memberTimeoutMs,
		}));
		return [{availabilityZone, isAlive: true}, ...others];
	}

	function findClaimableZones(): Set<string> {
		return getClaimableZones(getVoters());
	}

	function takeOverIfNeeded(): void {
		const own: ElectionParticipant = {
			id: ownId, isKeeper, isLeaving, isWarmedUp: isSettled(timers.getNowMs() - startedAtMs, isKeeper), hearsPlacer: hearsPlacer(),
		};
		const others = members.getAliveMembers().filter(member => member.shard === shards.getOwnShard()).map(member => getParticipant(member));
		const reason = findClaimReason({own, others, placerId: view.placerId});
		if (reason !== undefined && findClaimableZones().size > 0) {
			becomePlacer(reason, 1);
		}
	}

	function becomePlacer(reason: string, increment: number): void {
		const term = view.term + increment;
		metrics.increment('placer-elected');
		events.write('placer-elected', {
			term, reason, alive: members.getAliveMembers().length, previousPlacer: view.placerId, silenceMs: getSilenceMs(view.placerId),
		});
		localPlacer.stop('a new term begins');
		localPlacer.start(term);
		options.onElected();
		follow({term, placerId: ownId}, ownId);
	}

	function getSilenceMs(memberId: string): number | undefined {
		const silenceMs = members.getSilenceMs(memberId);
		return Number.isFinite(silenceMs) ? Math.round(silenceMs) : undefined;
	}

	/**
	 * After a power loss of every VM nobody knows how high the terms were. Backend servers still do: they reject the low
	 * tokens, so the term is raised until they no longer do.
	 */
	function raiseTermIfSuperseded(): void {
		const nowMs = timers.getNowMs();
		if (!localPlacer.isSuperseded()) {
			supersededSinceMs = undefined;
			return;
		}

		supersededSinceMs ??= nowMs;
		const delayMs = hasAliveMajority(getVoters()) ? supersededDelayMs : supersededInMinorityDelayMs;
		if (nowMs - supersededSinceMs >= delayMs) {
			supersededSinceMs = undefined;
			becomePlacer('tokens-too-low', termIncrement);
		}
	}

	return {
		getView: () => view,
		hearsPlacer,
		handleView(next, toldById) {
			if (next.placerId === ownId && !localPlacer.isRunning()) {
				handleOwnFormerTerm(next.term, toldById);
			} else if (isNewerView(next, view)) {
				follow(next, toldById);
			}
		},
		getClaimableZones: findClaimableZones,
		elect() {
			const gapMs = timers.getNowMs() - lastElectionAtMs;
			lastElectionAtMs = timers.getNowMs();
			if (gapMs > maxElectionGapMs) {
				// This process stood still; what the others sent meanwhile is read first.
				return;
			}

			takeOverIfNeeded();
			if (localPlacer.hasExhaustedClaims()) {
				becomePlacer('claims-used-up', 1);
			} else if (localPlacer.isRunning()) {
				raiseTermIfSuperseded();
			}
		},
		divide() {
			localPlacer.stop('the deployment is divided');
			view = {term: view.term, placerId: ''};
			followedAtMs = Number.NEGATIVE_INFINITY;
		},
		startLeaving() {
			isLeaving = true;
		},
		isLeaving: () => isLeaving,
	};
}
