import type {Keeper} from '@camphortack/consensus';
import type {
	EventLog, Member, MetricSink, PeerMessage, PeerNetwork, RandomSource, TimerService, TimerSubscription,
} from '@camphortack/core';
import {
	createJobRegister, type JobRegister, type JobRegisterStatus, type RegisterAssignment,
} from '@camphortack/register';
import type {RecordLog} from '@camphortack/storage';

export type KeeperRegisterOptions = {
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

/** The job register of a keeper. It starts once the keeper belongs to a cluster. */
export type KeeperRegister = {
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
	setMembers(members: readonly Member[]): void;
	findStatus(): JobRegisterStatus | undefined;
	close(): void;
};

const joinCheckIntervalMs = 20;
const confirmationIntervalMs = 1000;
/**
 * How long a process must be missing from the member list until it counts as gone. A process that was only partitioned
 * or paused has answered its callers long before.
 */
const goneTimeoutMs = 60_000;

/**
 * Creates the job register of a keeper. It starts once it is known whether this disk took part in the first start of the
 * cluster: on a disk that was added later, an empty log means that records were lost, not that there were none. Claims are
 * not answered before that.
 * @param options - The components that it depends on.
 */
export function createKeeperRegister(options: KeeperRegisterOptions): KeeperRegister {
	const {keeper, timers, assignment} = options;
	let register: JobRegister | undefined;
	let members: readonly Member[] = [];
	const missingTimers = new Map<string, TimerSubscription>();

	const start = () => {
		const {clusterId, isFounder} = keeper.getStatus();
		if (register !== undefined || clusterId === undefined) {
			return;
		}

		joinCheck.cancel();
		register = createJobRegister({...options, isFirstStart: isFounder});
		register.setAssignment(assignment);
		register.setMembers(members);
	};

	const markGone = (member: Member) => {
		missingTimers.delete(getProcessKey(member));
		register?.markIncarnationGone(member.id, member.incarnation);
	};

	/** Marks processes as gone that stay missing, so that their running jobs get the outcome `failed`. */
	const updateMissingTimers = (nextMembers: readonly Member[]) => {
		const present = new Set(nextMembers.map(member => getProcessKey(member)));
		for (const key of present) {
			missingTimers.get(key)?.cancel();
			missingTimers.delete(key);
		}

		for (const member of members) {
			const key = getProcessKey(member);
			if (!present.has(key)) {
				missingTimers.set(key, timers.addTimer(goneTimeoutMs, () => {
					markGone(member);
				}));
			}
		}
	};

	const joinCheck = timers.addInterval(joinCheckIntervalMs, start);
	// The assignment comes from the settings and does not change while the process runs, so it is always the latest one.
	const confirmation = timers.addInterval(confirmationIntervalMs, () => {
		register?.confirmAssignment();
	});
	start();

	return {
		handlePeerMessage(fromPeerId, message) {
			register?.handlePeerMessage(fromPeerId, message);
		},
		setMembers(nextMembers) {
			updateMissingTimers(nextMembers);
			members = nextMembers;
			register?.setMembers(members);
		},
		findStatus: () => register?.getStatus(),
		close() {
			joinCheck.cancel();
			confirmation.cancel();
			register?.close();
		},
	};
}

function getProcessKey({id, incarnation}: Member): string {
	return `${id} ${incarnation}`;
}
