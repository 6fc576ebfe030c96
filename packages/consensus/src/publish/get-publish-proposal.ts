import type {ConfigurationContent} from '../content/configuration-content.js';
import {getChanges} from '../content/get-changes.js';
import {getObjectsDigest, updateDigest} from '../content/object-digest.js';
import type {PublishProposal, PublishRequest} from './publish-schemas.js';

/** The most bytes of changes that one publish may carry. */
export const maxPublishBytes = 4_194_304;

/**
 * Gets the proposal of a publish. It has changes if its base is the version known here.
 * @param content - The version known here; not older than the base.
 * @param request - What the operator asks.
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
