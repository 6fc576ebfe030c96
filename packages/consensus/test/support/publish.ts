import type {PublishRequest, PublishResult} from '../../src/index.js';
import {getObjects} from './get-objects.js';
import type {TestCluster} from './test-cluster.js';

/** Gets a request to publish one pool that is named after the publish id. */
export function getRequest(publishId: string, baseVersion: number, author = 'anna'): PublishRequest {
	return {
		baseVersion,
		publishId,
		objects: getObjects([publishId]),
		author,
	};
}

/** Publishes at a keeper and advances the time. The default duration exceeds the publish timeout, so there must be a result. */
export function publish(cluster: TestCluster, keeperId: string, request: PublishRequest, durationMs = 6000): PublishResult | undefined {
	let received: PublishResult | undefined;
	cluster.keepers.get(keeperId)!.publish(request, result => {
		received = result;
	});
	cluster.timers.advance(durationMs);
	return received;
}
