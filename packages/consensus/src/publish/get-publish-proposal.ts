import type {ConfigurationContent} from '../content/configuration-content.js';
import {getChanges} from '../content/get-changes.js';
import {getObjectsDigest, updateDigest} from '../content/object-digest.js';
import type {PublishProposal, PublishRequest} from './publish-schemas.js';

/** The maximum size of a publish proposal. */
export const maxPublishBytes = 4_194_304;

/**
 * Gets the proposal of a publish. It contains changes only if its base is the version known to this daemon.
 * @param content - The version known to this daemon; not older than the base.
 * @param request - The request of the operator.
 */
export function getPublishProposal(content: ConfigurationContent, request: PublishRequest): PublishProposal {
	const {baseVersion, publishId, author, objects} = request;
	const changes = content.version === baseVersion ? getChanges(content.objects, objects) : undefined;
	const digest = changes === undefined ? getObjectsDigest(objects) : updateDigest(content.digest, content.objects, changes);
	return {
		baseVersion,
		publishId,
		author,
		digest,
		changes,
	};
}
