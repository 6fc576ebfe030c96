import type {TimerService, TimerSubscription} from '@camphortack/core';
import {emptyContent, type ConfigurationContent} from '../content/configuration-content.js';
import {getChanges} from '../content/get-changes.js';
import type {ObjectChange} from '../content/object-change.js';
import type {Evacuations} from '../publish/evacuation-schemas.js';
import type {FollowerMessage} from './follower-messages.js';
import {updateBatchMs, subscriptionLifetimeMs} from './follower-timings.js';
import {splitChanges} from './update-pieces.js';

/** Sends the active version of this daemon to its subscribers. */
export type Distributor = {
	/** Adds or renews a subscription and responds to it. */
	addSubscriber(peerId: string, startId: number, version: number): void;
	/** Schedules sending a new version, batched with those that follow shortly after. */
	handleNewVersion(): void;
	/** Sends changed evacuations to all subscribers immediately. */
	handleNewEvacuations(): void;
	getSubscriberCount(): number;
	stop(): void;
};

export type DistributorOptions = {
	timers: TimerService;
	getContent: () => ConfigurationContent;
	getKeeperAgeMs: () => number;
	/** Finds the evacuations to add to each message; undefined before the first order. */
	findEvacuations: () => Evacuations | undefined;
	/** Finds the changes from a version to the active one. */
	findChangesSince: (version: number) => ObjectChange[] | undefined;
	send: (peerId: string, message: FollowerMessage) => void;
};

type Subscriber = {startId: number; version: number; expiresAtMs: number};
type Update = {fromVersion: number; pieces: ObjectChange[][]};

/**
 * Creates a distributor without subscribers.
 * @param options - The content to send and the function that sends it.
 */
export function createDistributor(options: DistributorOptions): Distributor {
	const {timers, getContent, getKeeperAgeMs, findEvacuations, findChangesSince, send} = options;
	const subscribers = new Map<string, Subscriber>();
	let batchTimer: TimerSubscription | undefined;
	let updates = new Map<number, Update>();
	let updatesVersion = 0;

	/** Gets the update from a version, cached for all subscribers that need the same one. */
	function getUpdate(fromVersion: number): Update {
		if (updatesVersion !== getContent().version) {
			updatesVersion = getContent().version;
			updates = new Map();
		}

		const update = updates.get(fromVersion) ?? createUpdate(fromVersion);
		updates.set(fromVersion, update);
		return update;
	}

	function createUpdate(fromVersion: number): Update {
		const changes = fromVersion === 0 ? undefined : findChangesSince(fromVersion);
		if (changes === undefined) {
			return {fromVersion: 0, pieces: splitChanges(getChanges(emptyContent.objects, getContent().objects))};
		}

		return {fromVersion, pieces: splitChanges(changes)};
	}

	function sendUpdate(peerId: string, subscriber: Subscriber): void {
		const {version, digest} = getContent();
		const {fromVersion, pieces} = getUpdate(subscriber.version);
		for (const [pieceIndex, changes] of pieces.entries()) {
			send(peerId, {
				kind: 'configuration.update',
				startId: subscriber.startId,
				fromVersion,
				version,
				digest,
				pieceIndex,
				pieceCount: pieces.length,
				changes,
				...getState(),
			});
		}

		subscriber.version = version;
	}

	/** Gets the fields of each message that do not depend on the subscriber. */
	function getState(): {keeperAgeMs: number; evacuations?: Evacuations} {
		const evacuations = findEvacuations();
		return {keeperAgeMs: Math.round(getKeeperAgeMs()), ...(evacuations && {evacuations})};
	}

	function sendDigest(peerId: string, startId: number): void {
		const {version, digest} = getContent();
		send(peerId, {
			kind: 'configuration.digest', startId, version, digest, ...getState(),
		});
	}

	function sendToSubscribers(): void {
		const nowMs = timers.getNowMs();
		for (const [peerId, subscriber] of subscribers) {
			if (subscriber.expiresAtMs < nowMs) {
				subscribers.delete(peerId);
			} else if (subscriber.version < getContent().version) {
				sendUpdate(peerId, subscriber);
			}
		}
	}

	return {
		addSubscriber(peerId, startId, version) {
			const subscriber = {startId, version, expiresAtMs: timers.getNowMs() + subscriptionLifetimeMs};
			subscribers.set(peerId, subscriber);
			const content = getContent();
			if (subscriber.version < content.version) {
				sendUpdate(peerId, subscriber);
			} else {
				sendDigest(peerId, startId);
			}
		},
		handleNewVersion() {
			batchTimer ??= timers.addTimer(updateBatchMs, () => {
				batchTimer = undefined;
				sendToSubscribers();
			});
		},
		handleNewEvacuations() {
			for (const [peerId, {startId, expiresAtMs}] of subscribers) {
				if (expiresAtMs >= timers.getNowMs()) {
					sendDigest(peerId, startId);
				}
			}
		},
		getSubscriberCount: () => subscribers.size,
		stop() {
			batchTimer?.cancel();
			subscribers.clear();
		},
	};
}
