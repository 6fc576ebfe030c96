import type {ConfigurationFollower, Keeper, PublishResult} from '@camphortack/consensus';
import type {TimerService} from '@camphortack/core';
import type {ConfigurationService, PublishAnswer} from './configuration-service.js';

const rejectionMessages = {
	'publish-id-reused': 'The publish id was used before for other objects; take a new one.',
	'digest-mismatch': 'The objects were changed on their way; publish again.',
	'too-large': 'The changes are too large for one publish; publish them in parts.',
	'unknown-base': 'The base version is newer than any published one; run show and start from what it prints.',
};

const maxVersionWaitMs = 4000;
const versionCheckIntervalMs = 5;

export type ConfigurationServiceOptions = {
	/** Holds the configuration in force on this daemon and forwards publishes to a keeper. */
	follower: ConfigurationFollower;
	/** The keeper of this daemon, which holds the history; undefined if the daemon does not have the role. */
	keeper: Keeper | undefined;
	timers: TimerService;
};

/**
 * Creates the service that gives operators access to the replicated configuration.
 * @param options - The components that it depends on.
 */
export function createConfigurationService(options: ConfigurationServiceOptions): ConfigurationService {
	const {follower, keeper, timers} = options;

	/** Waits until a version is in force on this daemon, so that a request after a publish sees the published version; gives up after `maxVersionWaitMs`. */
	const waitForVersion = (version: number, onEnd: () => void) => {
		const deadlineAtMs = timers.getNowMs() + maxVersionWaitMs;
		const check = () => {
			if ((follower.getConfiguration()?.version ?? 0) >= version || timers.getNowMs() >= deadlineAtMs) {
				onEnd();
				return;
			}

			timers.addTimer(versionCheckIntervalMs, check);
		};

		check();
	};

	const createPublishAnswer = (result: PublishResult): PublishAnswer => {
		switch (result.outcome) {
			case 'published': {
				return {kind: 'published', version: result.version};
			}

			case 'conflict': {
				const current = follower.getConfiguration();
				const objects = current?.version === result.version ? current.objects : undefined;
				return {
					kind: 'conflict', version: result.version, author: result.winner?.author, objects,
				};
			}

			case 'rejected': {
				return {kind: 'rejected', message: rejectionMessages[result.reason]};
			}

			case 'no-majority': {
				return result.state === 'unknown'
					? {kind: 'unknown', message: 'No majority of keepers answered in time; it may still come into force. Publish again with the same id.'}
					: {kind: 'no-majority', message: 'No majority of keepers can be reached; nothing was published.'};
			}
		}
	};

	return {
		publish(request, onAnswer) {
			follower.publish(request, result => {
				const answer = createPublishAnswer(result);
				if (answer.kind !== 'published') {
					onAnswer(answer);
					return;
				}

				waitForVersion(answer.version, () => {
					onAnswer(answer);
				});
			});
		},
		findConfiguration: () => follower.getConfiguration(),
		async findHistory() {
			return keeper?.getHistory().getRecords().map(({version, publishId, author}) => ({version, publishId, author}));
		},
		async findVersion(version) {
			const current = follower.getConfiguration();
			if (current?.version === version) {
				return current;
			}

			const objects = current && keeper?.getHistory().findObjects(version, current.objects);
			return objects && {version, objects};
		},
	};
}
