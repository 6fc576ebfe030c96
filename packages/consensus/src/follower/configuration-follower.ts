import type {Configuration} from '@camphortack/configuration';
import type {Member, TimerSubscription} from '@camphortack/core';
import {applyToContent} from '../content/apply-changes.js';
import {emptyContent, type ConfigurationContent} from '../content/configuration-content.js';
import {getChanges} from '../content/get-changes.js';
import type {ObjectChange} from '../content/object-change.js';
import {createPublishForwarder} from '../publish/publish-forwarder.js';
import {createContentStore} from './content-store.js';
import {createDistributor} from './distributor.js';
import {createEvacuationHolder} from './evacuation-holder.js';
import {followerMessageSchema, type FollowerMessageOf} from './follower-messages.js';
import type {ConfigurationFollower, ConfigurationFollowerOptions} from './follower-options.js';
import {
	subscribeTimeoutMs, fanOut, sourceSwitchTimeoutMs, staleAfterMs, startupSubscribeIntervalMs, subscribeIntervalMs,
} from './follower-timings.js';
import {getSources, type Sources} from './get-sources.js';
import {createRecentSteps} from './recent-steps.js';
import {createStartCheck} from './start-check.js';
import {createUpdateReceiver, type ReceivedUpdate} from './update-pieces.js';

const maxStartId = 0xFF_FF_FF;

/**
 * Creates the component of a daemon that activates the configuration and distributes it to other daemons.
 * @param options - The id, the zone and the dependencies of the follower, and the keeper in the same process if there is one.
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
	const startId = random.getInteger(0, maxStartId);
	/** The last received version. It becomes active once it is stored. */
	let received = store.getStored();
	let content: ConfigurationContent = emptyContent;
	let sources: Sources = {regular: [], starting: []};
	let keeperIds: string[] = [];
	let sourceIndex = 0;
	let nextKeeperIndex = 0;
	let needsWhole = false;
	let responseTimer: TimerSubscription | undefined;
	let subscribeTimer: TimerSubscription | undefined;
	let isStale = false;
	let isStopped = false;
	/** When the keepers were last in contact with a majority, on this daemon's clock. */
	let lastKeeperContactMs = timers.getNowMs();

	const evacuations = createEvacuationHolder({
		events,
		metrics,
		onChange() {
			reportClosedZones();
			distributor.handleNewEvacuations();
		},
	});
	const startCheck = createStartCheck({keeper, timers, onEnd: reportClosedZones});
	const distributor = createDistributor({
		timers,
		getContent: () => content,
		getKeeperAgeMs,
		findEvacuations: evacuations.findEvacuations,
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
			const keeperId = keeperIds[nextKeeperIndex % Math.max(1, keeperIds.length)];
			nextKeeperIndex++;
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
		return keeper === undefined ? timers.getNowMs() - lastKeeperContactMs : keeper.getStatus().quorumAgeMs;
	}

	function reportClosedZones(): void {
		const ownZones = startCheck.isPending() ? [availabilityZone] : [];
		options.onClosedZones?.([...new Set([...evacuations.getEvacuations().availabilityZones, ...ownZones])]);
	}

	/** Activates a version if it is later than the active one. */
	function activate(newer: ConfigurationContent, changes: readonly ObjectChange[]): void {
		if (isStopped || newer.version <= content.version) {
			return;
		}

		steps.addStep(content.version, changes);
		content = newer;
		metrics.setGauge('configuration-version', content.version);
		events.write('configuration-in-force', {version: content.version});
		onConfiguration({version: content.version, objects: content.objects});
		distributor.handleNewVersion();
	}

	function applyUpdate(update: ReceivedUpdate): void {
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
		sourceIndex = received.version === 0 ? 0 : sourceIndex;
		const changes = update.fromVersion === received.version ? update.changes : getChanges(received.objects, after.objects);
		received = after;
		store.addStep(update.fromVersion, update.changes, after, () => {
			activate(after, changes);
		});
	}

	function getSourceIds(): readonly string[] {
		return received.version === 0 ? sources.starting : sources.regular;
	}

	function findSourceId(): string | undefined {
		const ids = getSourceIds();
		return ids[sourceIndex % Math.max(1, ids.length)];
	}

	function subscribe(): void {
		const sourceId = findSourceId();
		if (sourceId === undefined || responseTimer !== undefined) {
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
		responseTimer = timers.addTimer(subscribeTimeoutMs, () => {
			responseTimer = undefined;
			tryNextSource();
		});
	}

	/** Tries the next source. After the last one, waits for the next interval. */
	function tryNextSource(): void {
		sourceIndex++;
		if (sourceIndex % getSourceIds().length !== 0) {
			subscribe();
		}
	}

	function scheduleSubscribe(delayMs: number): void {
		subscribeTimer = timers.addTimer(delayMs, () => {
			reportStaleness();
			if (getKeeperAgeMs() > sourceSwitchTimeoutMs) {
				sourceIndex++;
			}

			subscribe();
			scheduleSubscribe(received.version === 0 ? startupSubscribeIntervalMs : subscribeIntervalMs);
		});
	}

	function reportStaleness(): void {
		const wasStale = isStale;
		isStale = getKeeperAgeMs() > staleAfterMs;
		if (isStale && !wasStale) {
			events.write('configuration-stale', {version: content.version, keeperAgeMs: Math.round(getKeeperAgeMs())});
		}
	}

	/** Takes the evacuations first: a daemon that can serve jobs because it has a configuration then knows them too. */
	function handleSourceMessage(fromPeerId: string, message: FollowerMessageOf<'configuration.digest' | 'configuration.update'>): void {
		if (message.evacuations !== undefined) {
			evacuations.setEvacuations(message.evacuations);
		}

		const {keeperAgeMs} = message;
		lastKeeperContactMs = Math.max(lastKeeperContactMs, timers.getNowMs() - keeperAgeMs);
		if (fromPeerId === findSourceId()) {
			responseTimer?.cancel();
			responseTimer = undefined;
		}
	}

	function handleSubscribe(fromPeerId: string, message: FollowerMessageOf<'configuration.subscribe'>): void {
		if (!message.isStarting) {
			distributor.addSubscriber(fromPeerId, message.startId, message.needsWhole ? 0 : message.version);
			return;
		}

		keeper?.confirm(isConfirmed => {
			const canServe = isConfirmed || (message.availabilityZone === availabilityZone && keeper.isSoleConfirmedInZone());
			if (canServe && !isStopped) {
				distributor.addSubscriber(fromPeerId, message.startId, 0);
			}
		});
	}

	function updateSources(members: readonly Member[]): void {
		const previousSourceId = findSourceId();
		sources = getSources(ownId, availabilityZone, members, fanOut);
		sourceIndex = 0;
		if (findSourceId() !== previousSourceId) {
			responseTimer?.cancel();
			responseTimer = undefined;
			subscribe();
		}
	}

	if (startCheck.isPending()) {
		reportClosedZones();
	}

	if (received.version > 0) {
		activate(received, []);
	}

	keeper?.addEvacuationListener(newer => {
		if (!isStopped) {
			evacuations.setEvacuations(newer);
		}
	});
	keeper?.addListener(newer => {
		activate(newer, getChanges(content.objects, newer.objects));
	});
	scheduleSubscribe(random.getFraction() * subscribeIntervalMs);

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
					handleSourceMessage(fromPeerId, parsed.data);
					break;
				}

				case 'configuration.update': {
					handleSourceMessage(fromPeerId, parsed.data);
					const update = receiver.addPiece(fromPeerId, parsed.data);
					if (update !== undefined) {
						applyUpdate(update);
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
			const isInZone = (member: Member) => member.availabilityZone === availabilityZone;
			keeperIds = [...keepers.filter(member => isInZone(member)), ...keepers.filter(member => !isInZone(member))].map(member => member.id);
			if (keeper === undefined) {
				updateSources(members);
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
		getEvacuations: evacuations.getEvacuations,
		setEvacuations: evacuations.setEvacuations,
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
			subscribeTimer?.cancel();
			responseTimer?.cancel();
			startCheck.stop();
			distributor.stop();
			forwarder.stop();
		},
	};
}
