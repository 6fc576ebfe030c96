import {createSeededRandomSource, type PeerMessage} from '@camphortack/core';
import {createMemoryDisk, createMemoryRecordLog, type MemoryDisk} from '@camphortack/storage';
import {
	FakeNetwork, RecordingEventLog, RecordingMetricSink, VirtualTimers,
} from '@camphortack/testkit';
import {createJobRegister, type JobRegister} from '@camphortack/register';

export const retentionMs = 600_000;

/** Creates a network for the keepers `k1` and `k2`, with an entry daemon `e1` that records the answers it receives. */
export function createKeeperPair() {
	const timers = new VirtualTimers();
	const random = createSeededRandomSource(5);
	const network = new FakeNetwork({timers, random});
	const answers: PeerMessage[] = [];
	const entry = network.addPeer('e1', (_from, message) => {
		answers.push(message);
	});
	const events = new RecordingEventLog();
	const metrics = new RecordingMetricSink();

	function startKeeper(id: string, disk: MemoryDisk, isFirstStart: boolean, maxRecords?: number): JobRegister {
		const peers = network.addPeer(id, (from, message) => {
			register.handlePeerMessage(from, message);
		});
		const register = createJobRegister({
			ownId: id,
			log: createMemoryRecordLog({timers, disk}),
			timers,
			random,
			metrics,
			events,
			peers,
			isFirstStart,
			retentionMs,
			...(maxRecords !== undefined && {maxRecords}),
		});
		return register;
	}

	/** Claims an id and gets the kind or the refusal code of the keeper's answer, or undefined if there is none. */
	function claim(keeperId: string, id: string, claimNumber: number, contentHash = 'hash'): unknown {
		answers.length = 0;
		entry.send(keeperId, {
			kind: 'register.claim',
			id,
			contentHash,
			taskCount: 1,
			incarnation: 'i1',
			claim: claimNumber,
		});
		timers.advance(20);
		const answer = answers[0]?.answer;
		return typeof answer === 'object' && answer !== null ? ('code' in answer ? answer.code : Reflect.get(answer, 'kind')) : undefined;
	}

	return {
		timers,
		network,
		events,
		metrics,
		entry,
		answers,
		startKeeper,
		claim,
		createDisk: createMemoryDisk,
	};
}
