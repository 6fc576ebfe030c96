import type {ConfigurationFollower, Keeper, PublishResult} from '@camphortack/consensus';
import type {TimerService} from '@camphortack/core';
import type {ConfigurationDesk, PublishAnswer} from './configuration-desk.js';

const messages = {
	'publish-id-reused': 'The publish id was used before for other objects; take a new one.',
	'digest-mismatch': 'The objects were changed on their way; publish again.',
	'too-large': 'The changes are too large for one publish; publish them in parts.',
	'unknown-base': 'The base version is newer than any published one; run show and start from what it prints.',
};

const longestWaitForVersionMs = 4000;
const versionCheckIntervalMs = 5;

export type ConfigurationDeskOptions = {
	/** What is in force here, and the way to a keeper. */
	follower: ConfigurationFollower;
	/** The keeper of this daemon, which holds the history. */
	keeper: Keeper | undefined;
	timers: TimerService;
};

/**
 * Creates the operators' way to the agreed configuration.
 * @param options - What is in force here, and the ways to the keepers.
 */
export function createConfigurationDesk(options: ConfigurationDeskOptions): ConfigurationDesk {
	const {follower, keeper, timers} = options;

	/** Waits until a version is in force here, so that a publish and a request after it meet the same version. */
	const waitForVersion = (version: number, onEnd: () => void) => {
		const endAtMs = timers.getNowMs() + longestWaitForVersionMs;
		const check = () => {
			if ((follower.getConfiguration()?.version ?? 0) >= version || timers.getNowMs() >= endAtMs) {
				onEnd();
				return;
			}

			timers.addTimer(versionCheckIntervalMs, check);
		};

		check();
	};

	const getAnswer = (result: PublishResult): PublishAnswer => {
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
				return {kind: 'rejected', message: messages[result.reason]};
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
				const answer = getAnswer(result);
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
