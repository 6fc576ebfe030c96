/** A daemon as the election sees it. */
export type ElectionParticipant = {
	id: string;
	isKeeper: boolean;
	isLeaving: boolean;
	/** Up long enough to know the other daemons. */
	isWarmedUp: boolean;
	/** Whether it hears the placer that this daemon follows. */
	hearsPlacer: boolean;
};

export type ElectionState = {
	own: ElectionParticipant;
	/** The other daemons that are heard now. */
	others: readonly ElectionParticipant[];
	/** The placer that is followed; empty before the first one. */
	placerId: string;
};

export type ClaimReason = 'no-placer' | 'placer-silent' | 'placer-leaving';

/**
 * Finds why this daemon should take over the placing of tasks now, if it should. A placer needs no majority: backend
 * servers obey the highest token only, so a side that is cut off can go on with its own ones. One daemon that does not
 * hear the placer while most others do is cut off itself and must not take over; it passes its jobs through another.
 * Answers placers that crash, freeze, leave or are cut off, and availability zones that are cut off.
 * @param state - This daemon and the others that it hears.
 */
export function findClaimReason({own, others, placerId}: ElectionState): ClaimReason | undefined {
	const reason = findVacancyReason({own, others, placerId});
	return reason !== undefined && isPreferredCandidate(own, others.filter(other => other.id !== placerId)) ? reason : undefined;
}

function findVacancyReason({own, others, placerId}: ElectionState): ClaimReason | undefined {
	if (placerId === '') {
		return 'no-placer';
	}

	if (placerId === own.id) {
		return undefined;
	}

	if (others.find(other => other.id === placerId)?.isLeaving) {
		return 'placer-leaving';
	}

	const voters = [own, ...others.filter(other => other.id !== placerId)];
	const hearingCount = voters.filter(voter => voter.hearsPlacer).length;
	return own.hearsPlacer || hearingCount * 2 > voters.length ? undefined : 'placer-silent';
}

function isPreferredCandidate(own: ElectionParticipant, others: readonly ElectionParticipant[]): boolean {
	return own.isWarmedUp && !own.isLeaving && others.every(other => compareCandidates(own, other) < 0);
}

/** Keepers come first, since their VMs are larger and take no callers; then the smallest id. */
function compareCandidates(left: ElectionParticipant, right: ElectionParticipant): number {
	return Number(right.isWarmedUp) - Number(left.isWarmedUp)
		|| Number(left.isLeaving) - Number(right.isLeaving)
		|| Number(right.isKeeper) - Number(left.isKeeper)
		|| (left.id < right.id ? -1 : 1);
}
