import process from 'node:process';
import {
	jobLives, replayMessageFault, type JobLife, type MessageFault,
} from '../support/replay-message-fault.js';

const kinds = [
	'placement.submit',
	'placement.result',
	'placement.not-begun',
	'placement.cancel',
	'placement.cancelled',
	'placement.open-jobs',
	'placement.unknown-jobs',
	'placement.record-servers',
	'placement.servers-recorded',
	'placement.record-request',
	'placement.record',
	'cluster.heartbeat',
];
const effects: ReadonlyArray<MessageFault['effect']> = ['lost', 'doubled', 'late'];
const maxPosition = 12;

/** Gets the faults of all messages of a life, in the order in which they are replayed. */
function getFaults(): MessageFault[] {
	const positions = Array.from({length: maxPosition + 1}, (_, position) => position);
	return kinds.flatMap(kind => positions.flatMap(position => effects.map(effect => ({kind, position, effect}))));
}

/** Replays each fault of each message of a life, and prints those that break a promise. */
async function explore(life: JobLife): Promise<void> {
	const absentKinds = new Set<string>();
	let playedCount = 0;
	let foundCount = 0;
	for (const fault of getFaults()) {
		if (absentKinds.has(fault.kind)) {
			continue;
		}

		// eslint-disable-next-line no-await-in-loop -- One replay after the other.
		const result = await replayMessageFault(life, fault);
		if (!result.wasAffected) {
			absentKinds.add(fault.kind);
			continue;
		}

		playedCount++;
		if (result.overlapCount > 0 || result.lateStartCount > 0 || (life.startsWith('callers-leave') && result.leftRunCount > 0)) {
			foundCount++;
			console.log(JSON.stringify({life, ...fault, ...result}));
		}
	}

	console.log(`${life}: ${playedCount} replays, ${foundCount} findings`);
}

const chosen = jobLives.filter(life => process.argv.length <= 2 || process.argv.includes(life));
for (const life of chosen) {
	await explore(life); // eslint-disable-line no-await-in-loop -- One life after the other.
}
