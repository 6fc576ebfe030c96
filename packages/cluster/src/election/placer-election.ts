import {
	candidateTimeoutMs, keeperPreferenceDelayMs, maxElectionGapMs, memberTimeoutMs, minCandidateUptimeMs, minCandidateUptimeWithAllSeedsMs, nonKeeperDelayMs,
	placerOverdueMs, placerTimeoutMs, startTimeToleranceMs, supersededDelayMs, supersededInMinorityDelayMs, termIncrement,
} from '../cluster-timings.js';
import type {ClusterOptions} from '../cluster-options.js';
import type {ClusterMember, MemberTable} from '../members/member-table.js';
import type {LocalPlacer} from '../placing/local-placer.js';
import type {ShardMap} from '../shards/shard-map.js';
import {findClaimReason, type ElectionParticipant} from './find-claim-reason.js';
import {getClaimableZones, hasAliveMajority, type ZoneVoter} from './get-claimable-zones.js';
import {isNewerView, type PlacerView} from './placer-view.js';

/** Follows the placer with the highest term, and makes this daemon the placer when one is needed. */
export type PlacerElection = {
	getView(): PlacerView;
	hearsPlacer(): boolean;
	/** Whether the placer was heard directly until a moment ago and its next heartbeats have not arrived: it may be gone. */
	isPlacerOverdue(): boolean;
	/** Adopts the view of another daemon if it is newer. */
	handleView(view: PlacerView, sourceId: string): void;
	/** Gets the availability zones whose backend servers this daemon may claim. */
	getClaimableZones(): Set<string>;
	/** Checks the members, and makes this daemon the placer if necessary. */
	elect(): void;
	/** Leaves the global shard for that of the availability zone, which starts without a placer. */
	divide(): void;
	startLeaving(): void;
	isLeaving(): boolean;
};

export type PlacerElectionOptions = Pick<ClusterOptions, 'ownId' | 'availabilityZone' | 'isKeeper' | 'cpuMillicores' | 'timers' | 'events' | 'metrics'> & {
	members: MemberTable;
	shards: ShardMap;
	localPlacer: LocalPlacer;
	/** The highest term known before the restart. */
	initialTerm: number;
	/** Called after the placer has changed, also if it is this daemon. */
	onPlacerChange: () => void;
	/** Called when this daemon no longer hears the placer. */
	onPlacerLost: () => void;
	/** Called after this daemon has started a term, before the other daemons learn of it. */
	onElected: () => void;
};

/**
 * Creates the election.
 * @param options - The daemon, the member table and the local placer.
 */
export function createPlacerElection(options: PlacerElectionOptions): PlacerElection {
	const {ownId, availabilityZone, isKeeper, timers, events, metrics, members, shards, localPlacer} = options;
	const startedAtMs = timers.getNowMs();
	let view: PlacerView = {term: options.initialTerm, placerId: ''};
	let isLeaving = false;
	let lastElectionAtMs = startedAtMs;
	let followedAtMs = Number.NEGATIVE_INFINITY;
	let supersededSinceMs: number | undefined;
	let heardPlacer = false;

	/**
	 * A newly adopted placer counts as heard until its own heartbeats are due. One whose heartbeats name another placer,
	 * or none, has restarted and does not count.
	 */
	function hearsPlacer(): boolean {
		if (view.placerId === ownId || view.placerId === '') {
			return view.placerId === ownId;
		}

		const isPlacing = members.findMember(view.placerId)?.placerId === view.placerId;
		return timers.getNowMs() - followedAtMs < placerTimeoutMs || (isPlacing && members.getSilenceMs(view.placerId) < placerTimeoutMs);
	}

	/** After `memberTimeoutMs`, messages to the placer are relayed, and it is not known whether it is gone. */
	function isPlacerOverdue(): boolean {
		if (view.placerId === ownId || timers.getNowMs() - followedAtMs < placerTimeoutMs) {
			return false;
		}

		const silenceMs = members.getSilenceMs(view.placerId);
		return silenceMs >= placerOverdueMs && silenceMs < memberTimeoutMs;
	}

	/** Tells the others at once when this daemon ceases to hear the placer: a new one is elected when most have said so. */
	function checkPlacer(): void {
		const hears = hearsPlacer();
		if (heardPlacer && !hears) {
			options.onPlacerLost();
		}

		heardPlacer = hears;
	}

	function follow(next: PlacerView, sourceId: string): void {
		const previous = view;
		view = next;
		followedAtMs = timers.getNowMs();
		events.write('placer-followed', {
			term: next.term, placer: next.placerId, toldBy: sourceId, previousTerm: previous.term, previousPlacer: previous.placerId,
		});
		if (previous.placerId === ownId && next.placerId !== ownId) {
			localPlacer.stop(`daemon ${next.placerId} places in term ${next.term}`);
		}

		options.onPlacerChange();
	}

	/** Handles daemons that still follow this one from before its restart. That term has ended, and there is no placer. */
	function handleOwnFormerTerm(term: number, sourceId: string): void {
		if (term > view.term) {
			follow({term, placerId: ''}, sourceId);
		}
	}

	/** Before the first placer is elected, other daemons wait longer than keepers, which are preferred. */
	function isWarmedUp(upMs: number, isKeeperDaemon: boolean): boolean {
		const minimumUpMs = members.hearsAllSeeds() ? minCandidateUptimeWithAllSeedsMs : minCandidateUptimeMs;
		return upMs >= minimumUpMs + (isKeeperDaemon || view.placerId !== '' ? 0 : nonKeeperDelayMs);
	}

	function getParticipant(member: ClusterMember): ElectionParticipant {
		const silenceMs = members.getSilenceMs(member.id);
		return {
			id: member.id,
			isKeeper: member.isKeeper,
			cpuMillicores: member.cpuMillicores,
			isLeaving: member.isLeaving,
			isWarmedUp: isWarmedUp(member.upMs + silenceMs + startTimeToleranceMs, member.isKeeper),
			isSilent: silenceMs >= candidateTimeoutMs,
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
		const nowMs = timers.getNowMs();
		const own: ElectionParticipant = {
			id: ownId,
			isKeeper,
			cpuMillicores: options.cpuMillicores,
			isLeaving,
			isWarmedUp: isWarmedUp(nowMs - startedAtMs, isKeeper),
			isSilent: false,
			hearsPlacer: hearsPlacer(),
		};
		const others = members.getAliveMembers().filter(member => member.shard === shards.getOwnShard()).map(member => getParticipant(member));
		const reason = findClaimReason({
			own, others, placerId: view.placerId, isSettled: nowMs - Math.max(startedAtMs, followedAtMs) >= keeperPreferenceDelayMs,
		});
		if (reason !== undefined && findClaimableZones().size > 0) {
			becomePlacer(reason, 1);
		}
	}

	function becomePlacer(reason: string, increment: number): void {
		const term = view.term + increment;
		const silenceMs = getSilenceMs(view.placerId);
		metrics.increment('placer-elected');
		events.write('placer-elected', {
			term, reason, alive: members.getAliveMembers().length, previousPlacer: view.placerId, silenceMs,
		});
		localPlacer.stop('a new term begins');
		localPlacer.start(term, silenceMs);
		options.onElected();
		follow({term, placerId: ownId}, ownId);
	}

	function getSilenceMs(memberId: string): number | undefined {
		const silenceMs = members.getSilenceMs(memberId);
		return Number.isFinite(silenceMs) ? Math.round(silenceMs) : undefined;
	}

	/**
	 * After a power loss of all VMs no daemon knows the last term, but backend servers still do: they reject lower tokens.
	 * The term is raised until they accept its tokens.
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
		isPlacerOverdue,
		handleView(next, sourceId) {
			if (next.placerId === ownId && !localPlacer.isRunning()) {
				handleOwnFormerTerm(next.term, sourceId);
			} else if (isNewerView(next, view)) {
				follow(next, sourceId);
			}
		},
		getClaimableZones: findClaimableZones,
		elect() {
			const gapMs = timers.getNowMs() - lastElectionAtMs;
			lastElectionAtMs = timers.getNowMs();
			if (gapMs > maxElectionGapMs) {
				// The process was suspended: handle the messages received meanwhile before any decision.
				return;
			}

			checkPlacer();
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
