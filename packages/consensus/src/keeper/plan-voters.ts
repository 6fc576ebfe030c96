import {getVoters, getVoterTarget, type KeeperRecord} from './keeper-set.js';

/** A keeper of the set as the leader sees it. */
export type KeeperView = {
	record: KeeperRecord;
	isLeader: boolean;
	/** Whether the keeper has announced that it is leaving. */
	isLeaving: boolean;
	/** Whether the keeper has been silent for so long that its vote is to be given to a learner. */
	isUnresponsive: boolean;
	/** Whether the keeper responds and its log is almost complete. */
	isReady: boolean;
};

/**
 * Plans the next change of the voters, by one vote: undefined if none is due. A leaving voter gives up its vote only after a
 * learner has one: four voters can lose one, two cannot. An unresponsive voter is demoted before a learner is promoted: four
 * voters of which one is lost cannot lose the new one.
 * @param keepers - The committed set.
 * @param maxVoters - The maximum number of voters, apart from the one more while a vote changes hands.
 *
 * @example
 * ```ts
 * planVoters([leader, leaving, other, readyLearner], 3); // the records, with readyLearner as a fourth voter
 * ```
 */
export function planVoters(keepers: readonly KeeperView[], maxVoters: number): KeeperRecord[] | undefined {
	const voters = keepers.filter(({record}) => record.role === 'voter');
	const target = getVoterTarget(keepers.length, maxVoters);
	const successor = findSuccessor(keepers);
	const unresponsive = voters.find(({isLeader, isUnresponsive}) => !isLeader && isUnresponsive);
	if (unresponsive !== undefined && (successor !== undefined || voters.length > target)) {
		return setRole(keepers, unresponsive, 'learner');
	}

	if (voters.length > target) {
		const leaving = voters.find(({isLeader, isLeaving}) => !isLeader && isLeaving);
		return leaving && setRole(keepers, leaving, 'learner');
	}

	const stayingCount = voters.filter(({isLeaving}) => !isLeaving).length;
	return successor !== undefined && stayingCount < target ? setRole(keepers, successor, 'voter') : undefined;
}

/**
 * Whether another voter is wanted, as soon as a learner is ready.
 * @param keepers - The set.
 * @param maxVoters - The maximum number of voters.
 */
export function isVoterWanted(keepers: readonly KeeperView[], maxVoters: number): boolean {
	const staying = keepers.filter(({record, isLeaving, isUnresponsive}) => record.role === 'voter' && !isLeaving && !isUnresponsive);
	return staying.length < getVoterTarget(keepers.length, maxVoters);
}

/** Prefers a learner in an availability zone in which no voter stays. */
function findSuccessor(keepers: readonly KeeperView[]): KeeperView | undefined {
	const staying = keepers.filter(({isLeaving, isUnresponsive}) => !isLeaving && !isUnresponsive);
	const voterZones = new Set(getVoters(staying.map(({record}) => record)).map(({availabilityZone}) => availabilityZone));
	const ready = staying.filter(({record, isReady}) => record.role === 'learner' && isReady);
	return ready.find(({record}) => !voterZones.has(record.availabilityZone)) ?? ready[0];
}

function setRole(keepers: readonly KeeperView[], changed: KeeperView, role: KeeperRecord['role']): KeeperRecord[] {
	return keepers.map(keeper => (keeper === changed ? {...keeper.record, role} : keeper.record));
}
