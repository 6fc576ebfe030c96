import type {PeerMessage} from '@camphortack/core';
import {createCrashRegister, type PlacementMessage} from '@camphortack/placement';
import type {Cluster} from './cluster.js';
import type {ClusterOptions} from './cluster-options.js';
import {
	electionIntervalMs, leftJobRetentionMs, reportIntervalMs, serverRefreshIntervalMs,
} from './cluster-timings.js';
import {createConfigurationExchange} from './configuration/configuration-exchange.js';
import {createCrashExchange} from './crashes/crash-exchange.js';
import {createPlacerElection} from './election/placer-election.js';
import {isSameView, type PlacerView} from './election/placer-view.js';
import {handleEntryMessage} from './entry/handle-entry-message.js';
import {createJobSubmitter} from './entry/job-submitter.js';
import {createEvacuationExchange} from './evacuations/evacuation-exchange.js';
import {createHeartbeatSender} from './members/heartbeat-sender.js';
import {createMemberTable, type ClusterMember} from './members/member-table.js';
import {createClusterMessageHandler} from './messages/cluster-message-handler.js';
import type {ClusterMessage, ClusterMessageOf} from './messages/cluster-messages.js';
import {createMessageParser} from './messages/message-parser.js';
import {createLocalPlacer} from './placing/local-placer.js';
import {createEarlierRecords} from './records/earlier-records.js';
import {createRecordExchange} from './records/record-exchange.js';
import {createServerRecords} from './records/server-records.js';
import {createRelay} from './relay/relay.js';
import {createRegistryExchange} from './registry/registry-exchange.js';
import {createServerRegistry} from './registry/server-registry.js';
import {createRegistryReplicator} from './registry/registry-replicator.js';
import {createShardMap, globalShard} from './shards/shard-map.js';

/**
 * Creates this daemon's membership in the cluster of a deployment: it discovers the other daemons, follows or becomes
 * the placer, replicates the registry of backend servers and the newest configuration, and accepts jobs.
 * @param options - The daemon's identity and dependencies.
 */
export function createCluster(options: ClusterOptions): Cluster {
	const {ownId, peers, timers, random, events, metrics} = options;
	const ownIncarnation = random.getIdentifier();
	const messageParser = createMessageParser({...options, getTerm: () => election.getView().term});
	const members = createMemberTable(ownId, options.seedIds, timers);
	const registry = createServerRegistry(timers);
	const configuration = createConfigurationExchange({
		...options,
		send,
		onConfiguration(document) {
			options.onConfiguration(document);
			heartbeatSender.sendAll();
		},
	});
	const evacuations = createEvacuationExchange({
		...options,
		send,
		onChange() {
			localPlacer.setEvacuatedZones(evacuations.getEvacuations().availabilityZones);
			heartbeatSender.sendAll();
		},
	});
	const hints = options.hintStore?.findHints() ?? {term: 0, isDivided: false};
	const shards = createShardMap({...options, wasDivided: hints.isDivided, isEvacuated: evacuations.isEvacuated});
	const relay = createRelay({ownId, peers, members});
	const crashRegister = createCrashRegister(timers);
	const crashes = createCrashExchange({...options, register: crashRegister, members});
	const records = createServerRecords(timers);
	const localPlacer = createLocalPlacer({
		...options,
		crashRegister,
		onCrashRecord: crashes.broadcast,
		onDescriptionRefuted(known, refuted) {
			registryReplicator.replaceRefuted(known, refuted);
		},
		ownIncarnation,
		earlierServers: {
			findServers: source => earlierRecords.findServers(source),
			requestMissing(source) {
				earlierRecords.requestMissing(source);
			},
			hasLeft: registry.hasLeft,
		},
		getShard: shards.getOwnShard,
		getEntries: () => members.getEntries(leftJobRetentionMs).filter(({id}) => isInShard(id)),
		send: sendPlacementMessage,
	});
	const election = createPlacerElection({
		...options,
		members,
		shards,
		localPlacer,
		initialTerm: hints.term,
		onPlacerChange() {
			saveHints();
			jobSubmitter.handlePlacerChange();
			heartbeatSender.sendAll();
		},
		onPlacerLost() {
			heartbeatSender.sendAll();
		},
		onElected: updatePlacerServers,
	});
	const jobSubmitter = createJobSubmitter({
		timers,
		random,
		events,
		metrics,
		shards,
		records,
		ownIncarnation,
		getPlacerView,
		isPlacerOverdue: election.isPlacerOverdue,
		getIncarnation: daemonId => daemonId === ownId ? ownIncarnation : members.findMember(daemonId)?.incarnation ?? '',
		usesRecords: daemonId => daemonId === ownId || members.findMember(daemonId)?.usesRecords === true,
		getSilenceMs: daemonId => daemonId === ownId ? 0 : members.getSilenceMs(daemonId),
		getRegistryDigest,
		findEvacuatedMs: () => (shards.isDivided() ? evacuations.findEvacuatedMs(options.availabilityZone) : undefined),
		sendToPlacer: (shard: string, message: PlacementMessage) => relay.sendTo(getPlacerView(shard).placerId, message),
	});
	const heartbeatSender = createHeartbeatSender({
		...options,
		members,
		incarnation: ownIncarnation,
		isPlacing: localPlacer.isRunning,
		isDivided: shards.isDivided,
		getContent: () => ({
			shard: shards.getOwnShard(),
			loadMs: localPlacer.findLoadMs(),
			registryDigest: localPlacer.hasPlaced() ? getRegistryDigest() : undefined,
			view: election.getView(),
			hearsPlacer: election.hearsPlacer(),
			isLeaving: election.isLeaving(),
			configurationNumber: configuration.getNumber(),
			evacuationRevision: evacuations.getRevision(),
		}),
	});
	const registryReplicator = createRegistryReplicator({
		...options,
		registry,
		members,
		getPlacerId: zone => getPlacerView(shards.isDivided() ? zone : globalShard).placerId,
		needsServersOf,
		isDivided: shards.isDivided,
		onChange() {
			divideIfDue(false);
			updatePlacerServers();
		},
	});

	const registryExchange = createRegistryExchange({
		...options,
		registry,
		members,
		replicator: registryReplicator,
		isDivided: shards.isDivided,
		needsServersOf,
		getDigest: getRegistryDigest,
		isInShard,
		send,
	});
	const earlierRecords = createEarlierRecords({
		timers,
		registry,
		replicator: registryReplicator,
		getShard: shards.getOwnShard,
		sendRequest(entryId, digest) {
			sendPlacementMessage(entryId, {kind: 'placement.record-request', digest});
		},
		onRecord: updatePlacerServers,
	});
	const recordExchange = createRecordExchange({
		ownIncarnation, records, earlierRecords, registry, getPlacerView, send: sendPlacementMessage,
	});

	function isInShard(entryId: string): boolean {
		return entryId === ownId || !shards.isDivided() || members.findMember(entryId)?.availabilityZone === options.availabilityZone;
	}

	function getPlacerView(shard: string): PlacerView {
		return shard === shards.getOwnShard() ? election.getView() : shards.findOtherView(shard) ?? {term: 0, placerId: ''};
	}

	/** Gets the digest of the backend servers that the placer of this daemon's shard may use: of all zones in the global shard. */
	function getRegistryDigest(): string {
		return registry.getDigest(shards.getOwnShard());
	}

	function saveHints(): void {
		options.hintStore?.setHints({term: election.getView().term, isDivided: shards.isDivided()});
	}

	/**
	 * Whether a daemon needs the descriptions of the backend servers of an availability zone: in a divided deployment,
	 * keepers need all of them, other daemons only those of their own zone, for which they may become the placer.
	 */
	function needsServersOf(member: ClusterMember, availabilityZone: string): boolean {
		return !shards.isDivided() || member.isKeeper || member.availabilityZone === availabilityZone;
	}

	function divideIfDue(isOtherDivided: boolean): void {
		if (shards.isDivided()) {
			return;
		}

		const serverCount = registry.getAddressCount();
		if (shards.divideIfDue(serverCount, isOtherDivided)) {
			events.write('deployment-divided', {shard: shards.getOwnShard(), servers: serverCount, toldByOther: isOtherDivided});
			election.divide();
			jobSubmitter.handleDivision();
			saveHints();
			heartbeatSender.sendAll();
		}
	}

	/** Updates the backend servers that the placer may claim, if it runs on this daemon. */
	function updatePlacerServers(): void {
		if (!localPlacer.isRunning()) {
			return;
		}

		const zones = election.getClaimableZones();
		const descriptions = [...registry.getDescriptions(), ...earlierRecords.getLeftServers()].filter(({availabilityZone}) => !shards.isDivided() || availabilityZone === options.availabilityZone);
		const idsInUse = localPlacer.getServerIdsInUse();
		const claimable = descriptions.filter(({id, availabilityZone}) => zones.has(availabilityZone) || idsInUse.has(id));
		localPlacer.setServers(claimable, descriptions.length - claimable.length);
	}

	function send(toId: string, message: ClusterMessage): void {
		peers.send(toId, message);
	}

	function sendPlacementMessage(toId: string, message: PlacementMessage): void {
		relay.sendTo(toId, message);
	}

	function handleHeartbeat(fromId: string, heartbeat: ClusterMessageOf<'cluster.heartbeat'>): void {
		const silenceMs = members.getSilenceMs(fromId);
		const isNew = members.addHeartbeat(fromId, heartbeat);
		if (isNew) {
			events.write('member-joined', {member: fromId, availabilityZone: heartbeat.availabilityZone, upMs: heartbeat.upMs});
			heartbeatSender.replyToNewMember(fromId);
			registryExchange.requestRegistry(fromId, heartbeat);
			crashes.sendAll(fromId);
			localPlacer.handleEntryStart(fromId, heartbeat.incarnation);
		} else {
			heartbeatSender.replyIfDue(fromId);
			registryExchange.sendMissedReports(fromId, silenceMs);
		}

		for (const memberId of heartbeat.memberIds ?? []) {
			members.addContact(memberId);
		}

		heartbeatSender.handleReportedSilence(fromId, heartbeat.silenceMs);
		// Evacuations come first: a daemon that serves jobs because it has a configuration then knows them too.
		evacuations.handleRevision(fromId, heartbeat.evacuationRevision);
		configuration.handleNumber(fromId, heartbeat.configurationNumber);

		divideIfDue(heartbeat.shard !== globalShard);
		updatePlacerView(fromId, heartbeat);
		registryExchange.refreshRegistry(fromId, heartbeat);
		if (fromId === election.getView().placerId) {
			jobSubmitter.handlePlacerHeard();
		}
	}

	function updatePlacerView(fromId: string, {shard, term, placerId, loadMs}: ClusterMessageOf<'cluster.heartbeat'>): void {
		if (shard === shards.getOwnShard()) {
			election.handleView({term, placerId}, fromId);
		} else if (shard !== globalShard) {
			updateOtherPlacerView(shard, {term, placerId}, loadMs);
		}
	}

	/** The runs of the jobs that were forwarded to another shard are stopped unless these are handed over to its next placer without delay. */
	function updateOtherPlacerView(shard: string, view: PlacerView, loadMs: number | undefined): void {
		const earlier = shards.findOtherView(shard);
		shards.updateOtherShard(shard, view, loadMs);
		if (earlier !== undefined && !isSameView(earlier, shards.findOtherView(shard)!)) {
			jobSubmitter.handlePlacerChange();
		}
	}

	function handlePlacementMessage(fromId: string, message: PlacementMessage): void {
		if (!recordExchange.handleMessage(fromId, message) && !handleEntryMessage(jobSubmitter, fromId, message)) {
			localPlacer.handleMessage(fromId, message);
		}
	}

	/** An error while a message is handled costs that message only: the others ask again for what they need. */
	function handlePeerMessage(fromId: string, message: PeerMessage): void {
		try {
			handleParsedMessage(fromId, message);
		} catch (error) {
			const reason = error instanceof Error ? error.stack ?? error.message : String(error);
			events.write('peer-message-failed', {from: fromId, kind: message.kind, reason});
		}
	}

	function handleParsedMessage(fromId: string, message: PeerMessage): void {
		if (message.kind.startsWith('placement.')) {
			const parsed = messageParser.parsePlacementMessage(fromId, message);
			if (parsed !== undefined) {
				handlePlacementMessage(fromId, parsed.message);
			}

			return;
		}

		const parsed = messageParser.parseClusterMessage(fromId, message);
		if (parsed !== undefined) {
			messageHandler.handleMessage(fromId, parsed);
		}
	}

	const messageHandler = createClusterMessageHandler({
		configuration, evacuations, crashes, relay, registryExchange, registryReplicator, handleHeartbeat, handlePeerMessage,
	});
	const subscriptions = [
		timers.addInterval(electionIntervalMs, election.elect),
		timers.addInterval(electionIntervalMs, heartbeatSender.sendIfDue),
		timers.addInterval(serverRefreshIntervalMs, updatePlacerServers),
		timers.addInterval(reportIntervalMs, () => {
			const idsInUse = localPlacer.getServerIdsInUse();
			registry.removeExpired(id => idsInUse.has(id));
		}),
	];
	heartbeatSender.sendAll();

	return {
		handlePeerMessage,
		submit: jobSubmitter.submit,
		cancel: jobSubmitter.cancel,
		getPendingCount: queueName => (localPlacer.isRunning() ? localPlacer.getPendingCount(queueName) : jobSubmitter.getOpenCountForQueue(queueName)),
		reportServer: registryReplicator.report,
		removeServer: registryReplicator.removeServer,
		addContacts(contactIds) {
			for (const contactId of contactIds) {
				members.addContact(contactId);
			}
		},
		setConfiguration: configuration.setDocument,
		getConfiguration: configuration.getDocument,
		setEvacuations: evacuations.setEvacuations,
		getEvacuations: evacuations.getEvacuations,
		areEvacuationsSupported: () => members.getAliveMembers().every(member => member.evacuationRevision !== undefined),
		isZoneKnown: zone => zone === options.availabilityZone || members.hasZone(zone) || registry.getDescriptions().some(({availabilityZone}) => availabilityZone === zone),
		getStatus: () => ({
			...election.getView(),
			hearsPlacer: election.hearsPlacer(),
			aliveMemberIds: members.getAliveMembers().map(member => member.id),
			serverCount: registry.getDescriptions().length,
			openJobCount: jobSubmitter.getOpenCount(),
		}),
		startLeaving(remainingMs) {
			jobSubmitter.startLeaving(remainingMs);
			election.startLeaving();
			heartbeatSender.sendAll();
		},
		stop() {
			for (const subscription of subscriptions) {
				subscription.cancel();
			}

			jobSubmitter.stop();
			localPlacer.stop('the daemon stops');
		},
	};
}
