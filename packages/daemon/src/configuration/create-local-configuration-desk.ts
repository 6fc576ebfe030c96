import type {Configuration} from '@camphortack/configuration';
import type {ConfigurationDesk} from './configuration-desk.js';

/**
 * Creates a desk for one daemon that keeps its configuration in memory.
 * @param onConfiguration - Called with each version that comes into force.
 */
export function createLocalConfigurationDesk(onConfiguration: (configuration: Configuration) => void): ConfigurationDesk {
	const versions: Array<Configuration & {publishId: string; author: string}> = [];
	return {
		publish(request, onAnswer) {
			const known = versions.find(version => version.publishId === request.publishId);
			if (known !== undefined) {
				onAnswer({kind: 'published', version: known.version});
				return;
			}

			const current = versions.at(-1);
			if ((current?.version ?? 0) !== request.baseVersion) {
				onAnswer({
					kind: 'conflict', version: current?.version ?? 0, author: current?.author, objects: current?.objects,
				});
				return;
			}

			const next = {
				version: request.baseVersion + 1, objects: request.objects, publishId: request.publishId, author: request.author,
			};
			versions.push(next);
			onConfiguration(next);
			onAnswer({kind: 'published', version: next.version});
		},
		findConfiguration: () => versions.at(-1),
		async getHistory() {
			return versions.map(({version, publishId, author}) => ({version, publishId, author}));
		},
		async findVersion(version) {
			return versions.find(candidate => candidate.version === version);
		},
	};
}
