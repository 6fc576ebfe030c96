import {CommandError} from '../errors/command-error.js';
import type {ApiResponse, ApiClient, ApiRequest} from './api-client.js';

/**
 * Sends a request once.
 * @param client - The client.
 * @param request - The request.
 * @param mayBeHandled - Whether an earlier copy of the request may have been handled. If so, an unreachable daemon does not
 * show that the request had no effect.
 * @returns The response, or undefined if it was lost.
 * @throws CommandError if the daemon is unreachable and no earlier copy was sent.
 */
export async function trySend(client: ApiClient, request: ApiRequest, mayBeHandled: boolean): Promise<ApiResponse | undefined> {
	try {
		return await client.send(request);
	} catch (error) {
		const isLost = error instanceof CommandError && (error.code === 'answer-lost' || mayBeHandled);
		if (!isLost) {
			throw error;
		}

		return undefined;
	}
}
