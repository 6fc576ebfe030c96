import type {DispatchConfiguration, Queue} from './dispatch-configuration.js';

/**
 * Finds the queue of a request: the one of the host with the longest prefix of the path.
 * @param configuration - The configuration in force.
 * @param host - The host of the request, without a port.
 * @param path - The path of the request.
 *
 * @example
 * ```ts
 * findQueue(configuration, 'quotes.example', '/estimates/5c0e7a21d94b36f8')?.name;
 * ```
 */
export function findQueue(configuration: DispatchConfiguration, host: string, path: string): Queue | undefined {
	let best: Queue | undefined;
	for (const queue of configuration.queues) {
		const isMatch = queue.host === host && path.startsWith(queue.pathPrefix);
		if (isMatch && queue.pathPrefix.length > (best?.pathPrefix.length ?? -1)) {
			best = queue;
		}
	}

	return best;
}
