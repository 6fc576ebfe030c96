import {
	formatObjectDifferences, getObjectDifferences, type ConfigurationFinding, type ConfigurationObjects,
} from '@camphortack/configuration';
import {formatFinding} from '@camphortack/core';
import {z} from 'zod';
import type {ApiResponse, ApiClient, ApiRequest} from '../api/api-client.js';
import {conflictResponseSchema, errorResponseSchema, publishResponseSchema} from '../api/api-schemas.js';
import {createRefusalError, isSuccess, parseResponseOrThrow} from '../api/get-response.js';
import {trySend} from '../api/try-send.js';
import {CommandError} from '../errors/command-error.js';
import {exitCodes} from '../exit-codes.js';
import {retryUntilDefined} from '../utils/retry-until-defined.js';

const maxAttempts = 4;
const waitBetweenAttemptsMs = 500;

const findingsResponseSchema = z.object({
	findings: z.array(z.looseObject({
		code: z.string(),
		message: z.string(),
		level: z.enum(['error', 'warning']).default('error'),
		place: z.object({object: z.string().optional(), key: z.string().optional()}).default({}),
	})),
});

/** The objects to publish and the version that they are based on. */
export type Publication = {
	baseVersion: number;
	/** The objects of the base version, to show the changes of a conflicting publish. */
	baseObjects: ConfigurationObjects;
	/** Identical for all resends, so that the daemon returns the first result again. */
	publishId: string;
	author: string;
	objects: ConfigurationObjects;
};

/**
 * Publishes objects. Resends the request with the same publish id while its outcome is unknown.
 * @param client - The client of the operators' port.
 * @param publication - The objects to publish.
 * @param wait - Waits before the next attempt.
 * @returns The new version.
 * @throws CommandError if the daemon refuses the request, on a conflict, or if the outcome remains unknown.
 */
export async function publishObjectsOrThrow(client: ApiClient, publication: Publication, wait: (durationMs: number) => Promise<void>): Promise<number> {
	const {baseObjects: _, ...body} = publication;
	const request: ApiRequest = {method: 'POST', path: '/v1/configuration', body};
	let mayBePublished = false;
	const response = await retryUntilDefined(maxAttempts, async attempt => {
		if (attempt > 1) {
			await wait(waitBetweenAttemptsMs);
		}

		const received = await trySend(client, request, mayBePublished);
		if (received !== undefined && !isOutcomeUnknown(received)) {
			return received;
		}

		mayBePublished = true;
		return undefined;
	});
	if (response === undefined) {
		throw createUnknownError(publication);
	}

	return getVersionOrThrow(response, publication, {request, mayBePublished});
}

function isOutcomeUnknown(response: ApiResponse): boolean {
	return response.status === 503 && errorResponseSchema.safeParse(response.body).data?.code === 'unknown';
}

function getVersionOrThrow(response: ApiResponse, publication: Publication, {request, mayBePublished}: {request: ApiRequest; mayBePublished: boolean}): number {
	if (isSuccess(response)) {
		return parseResponseOrThrow(response, publishResponseSchema, request).version;
	}

	const conflict = conflictResponseSchema.safeParse(response.body).data?.conflict;
	if (response.status === 409 && conflict !== undefined) {
		throw createConflictError(conflict, publication);
	}

	const findings = findingsResponseSchema.safeParse(response.body).data?.findings;
	if (response.status === 400 && findings !== undefined) {
		throw createFindingsError(findings);
	}

	throw mayBePublished ? createUnknownError(publication) : createRefusalError(response);
}

function createFindingsError(findings: readonly ConfigurationFinding[]): CommandError {
	const lines = findings.map(finding => `  ${formatFinding(finding)}`);
	return new CommandError('findings', ['the daemon found errors; nothing was published:', ...lines].join('\n'), exitCodes.failed, {findings});
}

function createConflictError(conflict: z.infer<typeof conflictResponseSchema>['conflict'], publication: Publication): CommandError {
	const differences = getObjectDifferences(publication.baseObjects, conflict.objects);
	const message = [
		`${conflict.author} published version ${conflict.version} first; your change was not published. The other change:`,
		formatObjectDifferences(differences),
		'Merge it into your files and publish again.',
	].join('\n');
	return new CommandError('conflict', message, exitCodes.conflict, {version: conflict.version, author: conflict.author, differences});
}

function createUnknownError({publishId, baseVersion}: Publication): CommandError {
	const message = `it is unknown whether the change was published. Publish it again with --publish-id ${publishId} --base ${baseVersion}: `
		+ 'it takes effect at most once.';
	return new CommandError('unknown', message, exitCodes.unknown, {publishId, baseVersion});
}
