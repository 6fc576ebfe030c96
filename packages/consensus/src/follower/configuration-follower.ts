import type {Configuration} from '@camphortack/configuration';
import type {Member, TimerSubscription} from '@camphortack/core';
import {applyToContent} from '../content/apply-changes.js';
import {emptyContent, type ConfigurationContent} from '../content/configuration-content.js';
import {getChanges} from '../content/get-changes.js';
import type {ObjectChange} from '../content/object-change.js';
import {createPublishForwarder} from '../publish/publish-forwarder.js';
import {createContentStore} from './content-store.js';
import {createDistributor} from './distributor.js';
import {followerMessageSchema, type FollowerMessageOf} from './follower-messages.js';
import type {ConfigurationFollower, ConfigurationFollowerOptions} from './follower-options.js';
import {
	answerTimeoutMs, fanOut, otherSourceAfterMs, staleAfterMs, startingIntervalMs, subscribeIntervalMs,
} from './follower-timings.js';
import {getSources, type Sources} from './get-sources.js';
import {createRecentSteps} from './recent-steps.js';
import {createUpdateReceiver, type ReceivedUpdate} from './update-pieces.js';

const largestStartId = 0xFF_FF_FF;

/**
 * Creates the part of a daemon that brings the configuration into force and passes it on.
 * @param options - Its place, its ports and, if there is one, the keeper in the same process.
 *
 * @example
 * ```ts
 * const follower = createConfigurationFollower({
 * 	ownId: 'vm-7', availabilityZone: 'north', peers, timers, random, events, metrics,
 * 	onConfiguration(configuration) {
 * 		dispatcher.setConfiguration(configuration);
 * 	},
 * });
 * follower.setMembers(members);
 * ```
 */
export function createConfigurationFollower(options: ConfigurationFollowerOptions): ConfigurationFollower {
	const {ownId, availabilityZone, peers, timers, random, events, metrics, keeper, onConfiguration} = options;
	const store = createContentStore(options.log);
	const steps = createRecentSteps();
	const receiver = createUpdateReceiver();
	const startId = random.getInteger(0, largestStartId);
	/** The last version received; in force once it is stored. */
	let received = store.getStored();
	let content: ConfigurationContent = emptyContent;
	let sources: Sources = {regular: [], starting: []};
	let keeperIds: string[] = [];
	let sourcePlace = 0;
	let publishPlace = 0;
	let needsWhole = false;
	let awaited: TimerSubscription | undefined;
	let next: TimerSubscription | undefined;
	let isStale = false;
	let isStopped = false;
	/** When the keepers were last in touch with a majority, on this daemon's clock. */
	let keeperHeardAtMs = timers.getNowMs();

	const distributor = createDistributor({
		timers,
		getContent: () => content,
		getKeeperAgeMs,
		findChangesSince: version => steps.findChangesSince(version) ?? keeper?.getHistory().findChangesBetween(version, content.version),
		send(peerId, message) {
			peers.send(peerId, message);
		},
	});
	const forwarder = createPublishForwarder({
		timers,
		random,
		getContent: () => content,
		send(requestId, proposal) {
			const keeperId = keeperIds[publishPlace % Math.max(1, keeperIds.length)];
			publishPlace++;
			if (keeperId === undefined) {
				return false;
			}

			peers.send(keeperId, {
				kind: 'consensus.publish', requestId, proposal, isFromKeeper: false,
			});
			return true;
		},
	});

	function getKeeperAgeMs(): number {
		return keeper === undefined ? timers.getNowMs() - keeperHeardAtMs : keeper.getStatus().quorumAgeMs;
	}

	/** Brings a version into force, if it is later than the one in force. */
	function putInForce(later: ConfigurationContent, changes: readonly ObjectChange[]): void {
		if (isStopped || later.version <= content.version) {
			return;
		}

		steps.addStep(content.version, changes);
		content = later;
		metrics.setGauge('configuration-version', content.version);
		events.write('configuration-in-force', {version: content.version});
		onConfiguration({version: content.version, objects: content.objects});
		distributor.handleContent();
	}

	function takeUpdate(update: ReceivedUpdate): void {
		const before = update.fromVersion === 0 ? emptyContent : received;
		if (update.version <= received.version) {
			return;
		}

		if (before.version !== update.fromVersion) {
			subscribe();
			return;
		}

		const after = applyToContent(before, update.version, update.changes);
		if (after.digest !== update.digest) {
			needsWhole = true;
			subscribe();
			return;
		}

		needsWhole = false;
		sourcePlace = received.version === 0 ? 0 : sourcePlace;
		const changes = update.fromVersion === received.version ? update.changes : getChanges(received.objects, after.objects);
		received = after;
		store.addStep(update.fromVersion, update.changes, after, () => {
			putInForce(after, changes);
		});
	}

	function getSourceIds(): readonly string[] {
		return received.version === 0 ? sources.starting : sources.regular;
	}

	function findSourceId(): string | undefined {
		const ids = getSourceIds();
		return ids[sourcePlace % Math.max(1, ids.length)];
	}

	function subscribe(): void {
		const sourceId = findSourceId();
		if (sourceId === undefined || awaited !== undefined) {
			return;
		}

		peers.send(sourceId, {
			kind: 'configuration.subscribe',
			startId,
			version: received.version,
			availabilityZone,
			isStarting: received.version === 0,
			needsWhole,
		});
		awaited = timers.addTimer(answerTimeoutMs, () => {
			awaited = undefined;
			tryNextSource();
		});
	}

	/** Asks the next source; after the last one, waits for the next interval. */
	function tryNextSource(): void {
		sourcePlace++;
		if (sourcePlace % getSourceIds().length !== 0) {
			subscribe();
		}
	}

	function scheduleNext(delayMs: number): void {
		next = timers.addTimer(delayMs, () => {
			checkAge();
			if (getKeeperAgeMs() > otherSourceAfterMs) {
				sourcePlace++;
			}

			subscribe();
			scheduleNext(received.version === 0 ? startingIntervalMs : subscribeIntervalMs);
		});
	}

	function checkAge(): void {
		const wasStale = isStale;
		isStale = getKeeperAgeMs() > staleAfterMs;
		if (isStale && !wasStale) {
			events.write('configuration-stale', {version: content.version, keeperAgeMs: Math.round(getKeeperAgeMs())});
		}
	}

	function handleAnswer(fromPeerId: string, keeperAgeMs: number): void {
		keeperHeardAtMs = Math.max(keeperHeardAtMs, timers.getNowMs() - keeperAgeMs);
		if (fromPeerId === findSourceId()) {
			awaited?.cancel();
			awaited = undefined;
		}
	}

	function handleSubscribe(fromPeerId: string, message: FollowerMessageOf<'configuration.subscribe'>): void {
		if (!message.isStarting) {
			distributor.addSubscriber(fromPeerId, message.startId, message.needsWhole ? 0 : message.version);
			return;
		}

		keeper?.confirm(isConfirmed => {
			const maySend = isConfirmed || (message.availabilityZone === availabilityZone && keeper.isSoleConfirmedInZone());
			if (maySend && !isStopped) {
				distributor.addSubscriber(fromPeerId, message.startId, 0);
			}
		});
	}

	function setSources(members: readonly Member[]): void {
		const before = findSourceId();
		sources = getSources(ownId, availabilityZone, members, fanOut);
		sourcePlace = 0;
		if (findSourceId() !== before) {
			awaited?.cancel();
			awaited = undefined;
			subscribe();
		}
	}

	if (received.version > 0) {
		putInForce(received, []);
	}

	keeper?.addListener(later => {
		putInForce(later, getChanges(content.objects, later.objects));
	});
	scheduleNext(random.getFraction() * subscribeIntervalMs);

	return {
		handlePeerMessage(fromPeerId, message) {
			if (isStopped) {
				return;
			}

			const parsed = followerMessageSchema.safeParse(message);
			if (!parsed.success) {
				metrics.increment('peer-malformed');
				return;
			}

			const isForEarlierStart = parsed.data.kind !== 'configuration.subscribe' && 'startId' in parsed.data && parsed.data.startId !== startId;
			if (isForEarlierStart) {
				return;
			}

			switch (parsed.data.kind) {
				case 'configuration.subscribe': {
					handleSubscribe(fromPeerId, parsed.data);
					break;
				}

				case 'configuration.digest': {
					handleAnswer(fromPeerId, parsed.data.keeperAgeMs);
					break;
				}

				case 'configuration.update': {
					handleAnswer(fromPeerId, parsed.data.keeperAgeMs);
					const update = receiver.addPiece(fromPeerId, parsed.data);
					if (update !== undefined) {
						takeUpdate(update);
					}

					break;
				}

				case 'configuration.publish-result': {
					forwarder.handleResult(parsed.data.requestId, parsed.data.result);
					break;
				}
			}
		},
		setMembers(members) {
			const keepers = members.filter(member => member.roles.includes('keeper'));
			const isNear = (member: Member) => member.availabilityZone === availabilityZone;
			keeperIds = [...keepers.filter(member => isNear(member)), ...keepers.filter(member => !isNear(member))].map(member => member.id);
			if (keeper === undefined) {
				setSources(members);
			}
		},
		getConfiguration: () => (content.version === 0 ? undefined : {version: content.version, objects: content.objects}),
		publish(request, onResult) {
			if (keeper === undefined) {
				forwarder.submitRequest(request, onResult);
			} else {
				keeper.publish(request, onResult);
			}
		},
		getStatus: () => ({
			version: content.version,
			digest: content.digest,
			sourceId: keeper === undefined ? findSourceId() : undefined,
			keeperAgeMs: getKeeperAgeMs(),
			isStale: getKeeperAgeMs() > staleAfterMs,
			subscriberCount: distributor.getSubscriberCount(),
		}),
		stop() {
			isStopped = true;
			next?.cancel();
			awaited?.cancel();
			distributor.stop();
			forwarder.stop();
		},
	};
}
