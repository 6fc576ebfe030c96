import type {Keeper} from '@camphortack/consensus';
import type {
	EventLog, Member, MetricSink, PeerMessage, PeerNetwork, RandomSource, TimerService, TimerSubscription,
} from '@camphortack/core';
import {
	createJobRegister, type JobRegister, type JobRegisterStatus, type RegisterAssignment,
} from '@camphortack/register';
import type {RecordLog} from '@camphortack/storage';

export type RegisterPartOptions = {
	ownId: string;
	keeper: Keeper;
	log: RecordLog;
	assignment: RegisterAssignment;
	timers: TimerService;
	random: RandomSource;
	metrics: MetricSink;
	events: EventLog;
	peers: PeerNetwork;
};

/** The job register of a keeper, from the moment at which the keeper has a place in the cluster. */
export type RegisterPart = {
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
	setMembers(members: readonly Member[]): void;
	findStatus(): JobRegisterStatus | undefined;
	close(): void;
};

const placeCheckIntervalMs = 20;
const confirmIntervalMs = 1000;
/** A daemon that is missing this long is taken for gone; one that was only cut off or paused has long answered its callers. */
const missingUntilGoneMs = 60_000;

/**
 * Starts the job register once it is known whether this disk was there at the cluster's first start: an empty log of a
 * disk that came later means lost records, not that there were none. Until then claims are not answered.
 * @param options - The keeper, the log and the ports.
 */
export function createRegisterPart(options: RegisterPartOptions): RegisterPart {
	const {keeper, timers, assignment} = options;
	let register: JobRegister | undefined;
	let members: readonly Member[] = [];
	const missing = new Map<string, TimerSubscription>();

	const start = () => {
		const {clusterId, isFounder} = keeper.getStatus();
		if (register !== undefined || clusterId === undefined) {
			return;
		}

		placeCheck.cancel();
		register = createJobRegister({...options, isFirstStart: isFounder});
		register.setAssignment(assignment);
		register.setMembers(members);
	};

	const markGone = (member: Member) => {
		missing.delete(getProcessKey(member));
		register?.markIncarnationGone(member.id, member.incarnation);
	};

	/** Marks the processes gone that stay missing, so that their running jobs get the outcome failed. */
	const watchMissing = (nextMembers: readonly Member[]) => {
		const present = new Set(nextMembers.map(member => getProcessKey(member)));
		for (const key of present) {
			missing.get(key)?.cancel();
			missing.delete(key);
		}

		for (const member of members) {
			const key = getProcessKey(member);
			if (!present.has(key)) {
				missing.set(key, timers.addTimer(missingUntilGoneMs, () => {
					markGone(member);
				}));
			}
		}
	};

	const placeCheck = timers.addInterval(placeCheckIntervalMs, start);
	// The assignment comes from the settings and never changes while the process runs, so it is always the latest.
	const confirmation = timers.addInterval(confirmIntervalMs, () => {
		register?.confirmAssignment();
	});
	start();

	return {
		handlePeerMessage(fromPeerId, message) {
			register?.handlePeerMessage(fromPeerId, message);
		},
		setMembers(nextMembers) {
			watchMissing(nextMembers);
			members = nextMembers;
			register?.setMembers(members);
		},
		findStatus: () => register?.getStatus(),
		close() {
			placeCheck.cancel();
			confirmation.cancel();
			register?.close();
		},
	};
}

function getProcessKey({id, incarnation}: Member): string {
	return `${id} ${incarnation}`;
}
