/** The state of a daemon that matters to the election. */
export type ElectionParticipant = {
	id: string;
	isKeeper: boolean;
	/** The processor time that its VM may use; undefined if it is not known. */
	cpuMillicores?: number;
	isLeaving: boolean;
	/** Whether it has been up long enough to have discovered the other daemons. */
	isWarmedUp: boolean;
	/** Whether its last heartbeat is overdue: it may have been lost together with the placer, as when an availability zone is cut off. */
	isSilent: boolean;
	/** Whether it receives heartbeats from the placer that this daemon follows. */
	hearsPlacer: boolean;
};

export type ElectionState = {
	own: ElectionParticipant;
	/** The other daemons that are alive. */
	others: readonly ElectionParticipant[];
	/** The placer that this daemon follows; empty before the first one. */
	placerId: string;
	/** Whether this daemon has been up, and has followed the placer, long enough to replace one that still responds. */
	isSettled: boolean;
};

/** Processor shares that differ by less than this factor make no difference that is worth a departure from the order of the ids. */
const shareClassFactor = 1.5;

export type ClaimReason = 'no-placer' | 'placer-silent' | 'placer-leaving' | 'keeper-preferred';

/**
 * Finds the reason for which this daemon should become the placer now, if there is one. A placer needs no majority:
 * backend servers accept only the highest fencing token, so each side of a network partition can continue with its own
 * backend servers. A daemon that does not hear the placer while most others do is itself cut off and must not take over;
 * it relays its jobs through another daemon. Covers placers that crash, freeze, leave or are cut off, and availability
 * zones that are cut off. An entry daemon that had to take over, because no keeper responded, is replaced by the first
 * keeper that has settled again: its VM is too small to place the load of a large availability zone.
 * @param state - This daemon and the others that it hears.
 */
export function findClaimReason({own, others, placerId, isSettled}: ElectionState): ClaimReason | undefined {
	const reason = findVacancyReason({
		own, others, placerId, isSettled,
	});
	return reason !== undefined && isPreferredCandidate(own, others.filter(other => other.id !== placerId)) ? reason : undefined;
}

function findVacancyReason({own, others, placerId, isSettled}: ElectionState): ClaimReason | undefined {
	if (placerId === '') {
		return 'no-placer';
	}

	if (placerId === own.id) {
		return undefined;
	}

	const placer = others.find(other => other.id === placerId);
	if (placer?.isLeaving) {
		return 'placer-leaving';
	}

	if (placer !== undefined && !placer.isKeeper && own.isKeeper && isSettled) {
		return 'keeper-preferred';
	}

	const voters = [own, ...others.filter(other => other.id !== placerId)];
	const hearingCount = voters.filter(voter => voter.hearsPlacer).length;
	return own.hearsPlacer || hearingCount * 2 > voters.length ? undefined : 'placer-silent';
}

function isPreferredCandidate(own: ElectionParticipant, others: readonly ElectionParticipant[]): boolean {
	return own.isWarmedUp && !own.isLeaving && others.every(other => compareCandidates(own, other) < 0);
}

/**
 * Prefers keepers, since their VMs are larger and serve no callers, then the larger class of processor share, then the smallest
 * id. A daemon that can start at once comes before larger ones that are silent, leave or have just started.
 */
function compareCandidates(left: ElectionParticipant, right: ElectionParticipant): number {
	return Number(left.isSilent) - Number(right.isSilent)
		|| Number(right.isWarmedUp) - Number(left.isWarmedUp)
		|| Number(left.isLeaving) - Number(right.isLeaving)
		|| Number(right.isKeeper) - Number(left.isKeeper)
		|| getShareClass(right) - getShareClass(left)
		|| (left.id < right.id ? -1 : 1);
}

/** Unknown shares are in one class below all others: if they compared as equal to every class, the order could be cyclic. */
function getShareClass({cpuMillicores}: ElectionParticipant): number {
	return cpuMillicores === undefined || cpuMillicores < 1 ? -1 : Math.floor(Math.log(cpuMillicores) / Math.log(shareClassFactor));
}
