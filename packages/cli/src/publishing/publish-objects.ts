import {
	formatObjectDifferences, getObjectDifferences, type ConfigurationFinding, type ConfigurationObjects,
} from '@camphortack/configuration';
import {formatFinding} from '@camphortack/core';
import {z} from 'zod';
import type {ApiAnswer, ApiClient, ApiRequest} from '../api/api-client.js';
import {conflictAnswerSchema, errorAnswerSchema, publishedAnswerSchema} from '../api/api-schemas.js';
import {createRefusalError, isSuccess, parseAnswerOrThrow} from '../api/get-answer.js';
import {sendOrFindLost} from '../api/send-or-find-lost.js';
import {CommandError} from '../errors/command-error.js';
import {exitCodes} from '../exit-codes.js';
import {findInTurn} from '../utils/find-in-turn.js';

const mostAttempts = 4;
const waitBetweenAttemptsMs = 500;

const findingsAnswerSchema = z.object({
	findings: z.array(z.looseObject({
		code: z.string(),
		message: z.string(),
		level: z.enum(['error', 'warning']).default('error'),
		place: z.object({object: z.string().optional(), key: z.string().optional()}).default({}),
	})),
});

/** What is published, on top of which version. */
export type Publication = {
	baseVersion: number;
	/** The objects of the base version, to show what the winner of a race changed. */
	baseObjects: ConfigurationObjects;
	/** The same for each resend, so that a daemon gives the first result again. */
	publishId: string;
	author: string;
	objects: ConfigurationObjects;
};

/**
 * Publishes a set of objects. Sends it again, with the same publish id, while its outcome is not known.
 * @param client - The client of the operators' port.
 * @param publication - What is published.
 * @param wait - Waits between two attempts.
 * @returns The new version.
 * @throws CommandError if the daemon refuses, on a conflict, or if the outcome stays unknown.
 */
export async function publishObjectsOrThrow(client: ApiClient, publication: Publication, wait: (durationMs: number) => Promise<void>): Promise<number> {
	const {baseObjects: _, ...body} = publication;
	const request: ApiRequest = {method: 'POST', path: '/v1/configuration', body};
	let mayBeInForce = false;
	const answer = await findInTurn(mostAttempts, async attempt => {
		if (attempt > 1) {
			await wait(waitBetweenAttemptsMs);
		}

		const received = await sendOrFindLost(client, request, mayBeInForce);
		if (received !== undefined && !isOutcomeUnknown(received)) {
			return received;
		}

		mayBeInForce = true;
		return undefined;
	});
	if (answer === undefined) {
		throw createUnknownError(publication);
	}

	return getVersionOrThrow(answer, publication, {request, mayBeInForce});
}

function isOutcomeUnknown(answer: ApiAnswer): boolean {
	return answer.status === 503 && errorAnswerSchema.safeParse(answer.body).data?.code === 'unknown';
}

function getVersionOrThrow(answer: ApiAnswer, publication: Publication, {request, mayBeInForce}: {request: ApiRequest; mayBeInForce: boolean}): number {
	if (isSuccess(answer)) {
		return parseAnswerOrThrow(answer, publishedAnswerSchema, request).version;
	}

	const conflict = conflictAnswerSchema.safeParse(answer.body).data?.conflict;
	if (answer.status === 409 && conflict !== undefined) {
		throw createConflictError(conflict, publication);
	}

	const findings = findingsAnswerSchema.safeParse(answer.body).data?.findings;
	if (answer.status === 400 && findings !== undefined) {
		throw createFindingsError(findings);
	}

	throw mayBeInForce ? createUnknownError(publication) : createRefusalError(answer);
}

function createFindingsError(findings: readonly ConfigurationFinding[]): CommandError {
	const lines = findings.map(finding => `  ${formatFinding(finding)}`);
	return new CommandError('findings', ['the daemon found errors; nothing was published:', ...lines].join('\n'), exitCodes.failed, {findings});
}

function createConflictError(conflict: z.infer<typeof conflictAnswerSchema>['conflict'], publication: Publication): CommandError {
	const differences = getObjectDifferences(publication.baseObjects, conflict.objects);
	const message = [
		`${conflict.author} published version ${conflict.version} first; nothing of yours was published. The other change:`,
		formatObjectDifferences(differences),
		'Take it into your files and publish again.',
	].join('\n');
	return new CommandError('conflict', message, exitCodes.conflict, {version: conflict.version, author: conflict.author, differences});
}

function createUnknownError({publishId, baseVersion}: Publication): CommandError {
	const message = `it is not known whether the change was published. Send it again with --publish-id ${publishId} --base ${baseVersion}: `
		+ 'it takes effect at most once.';
	return new CommandError('unknown', message, exitCodes.unknown, {publishId, baseVersion});
}
