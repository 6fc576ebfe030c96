import type {WhereResponse} from '../api/api-schemas.js';
import {formatTable} from './format-table.js';

/**
 * Formats the explanation of where a job would go now.
 * @param explanation - The explanation, as reported by the daemon.
 */
export function formatWhere(explanation: WhereResponse): string {
	return [
		formatDecision(explanation),
		...(explanation.pool === undefined ? [] : [formatCandidates(explanation)]),
		...formatExcluded(explanation),
		...formatPartners(explanation),
	].join('\n\n');
}

function formatDecision({refusal, pool, expectedRunTimeMs, expectedWaitMs, queuedTasks, slots}: WhereResponse): string {
	const decision = refusal === undefined ? 'accepted' : `refused (${refusal})`;
	if (pool === undefined) {
		return `decision  ${decision}`;
	}

	const wait = expectedWaitMs === undefined ? 'unknown: no backend server of this daemon can take the task' : `${Math.round(expectedWaitMs)} ms`;
	return [
		`decision  ${decision}`,
		`pool      ${pool}: ${slots} slots of this daemon, ${queuedTasks} tasks queued`,
		`wait      ${wait}`,
		`run time  ${Math.round(expectedRunTimeMs ?? 0)} ms expected`,
	].join('\n');
}

function formatCandidates({candidates}: WhereResponse): string {
	if (candidates.length === 0) {
		return 'no backend server of this daemon can take the first task';
	}

	return formatTable(['backend server', 'zone', 'free slots', 'completion', 'state'], candidates.map(({id, availabilityZone, freeSlots, expectedCompletionMs, exclusion}) => [
		id, availabilityZone, String(freeSlots), `${expectedCompletionMs} ms`, exclusion ?? 'takes it now',
	]));
}

function formatExcluded({excluded}: WhereResponse): string[] {
	const rows = Object.entries(excluded).map(([reason, count]) => [reason, String(count)]);
	return rows.length === 0 ? [] : [formatTable(['excluded now', 'backend servers'], rows)];
}

function formatPartners({partners}: WhereResponse): string[] {
	const rows = partners.map(({id, slots, room}) => [id, String(slots), String(Math.round(room))]);
	return rows.length === 0 ? [] : [formatTable(['other daemon', 'slots', 'room'], rows)];
}
