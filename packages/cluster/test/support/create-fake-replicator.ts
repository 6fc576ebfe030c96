import type {BackendServerDescription} from '@camphortack/placement';
import type {RegistryReplicator} from '../../src/registry/registry-replicator.js';

/**
 * Creates a replicator that passes on the descriptions of other registries, and fails at every other call.
 * @param onDescriptions - Called with the descriptions.
 */
export function createFakeReplicator(onDescriptions: (descriptions: readonly BackendServerDescription[]) => void): RegistryReplicator {
	const fail = () => {
		throw new Error('the test does not expect this call');
	};

	return {
		report: fail,
		handleReport: fail,
		handleAcknowledgement: fail,
		sendMissedReports: fail,
		removeServer: fail,
		handleServerLeft: fail,
		replaceRefuted: fail,
		addDescriptions(_fromId, descriptions) {
			onDescriptions(descriptions);
		},
	};
}
