import type {Keeper} from '@camphortack/consensus';
import type {
	EventLog, Member, MetricSink, PeerMessage, PeerNetwork, RandomSource, TimerService,
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

/**
 * Starts the job register once it is known whether this disk was there at the cluster's first start: an empty log of a
 * disk that came later means lost records, not that there were none. Until then claims are not answered.
 * @param options - The keeper, the log and the ports.
 */
export function createRegisterPart(options: RegisterPartOptions): RegisterPart {
	const {keeper, timers, assignment} = options;
	let register: JobRegister | undefined;
	let members: readonly Member[] = [];

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
