import type {PeerMessage} from '@camphortack/core';
import {placementMessageSchema, type BackendServerDescription, type PlacementMessage} from '@camphortack/placement';
import type {Cluster} from './cluster.js';
import type {ClusterOptions} from './cluster-options.js';
import {
	configurationRequestIntervalMs, electionIntervalMs, heartbeatMs, keeperHeadStartMs, linkSilenceMs, longestElectionGapMs, overtakenPauseMs, termRaise, memberListIntervalMs, memberSilenceMs,
	placerHeartbeatMs, placerMinimumUpMs, placerSilenceMs, reportIntervalMs, reportTimeoutMs, startToleranceMs,
} from './cluster-timings.js';
import {createDocumentHolder} from './configuration/document-holder.js';
import {findClaimReason, type Elector} from './election/find-claim-reason.js';
import {getClaimableZones} from './election/get-claimable-zones.js';
import {isNewerView, type PlacerView} from './election/placer-view.js';
import {createEntryDesk} from './entry/entry-desk.js';
import {createMemberBook, type ClusterMember} from './members/member-book.js';
import {clusterMessageSchema, type ClusterMessage, type ClusterMessageOf} from './messages/cluster-messages.js';
import {createPlacingPart} from './placing/placing-part.js';
import {createRelay} from './relay/relay.js';
import {createServerRegistry} from './registry/server-registry.js';

/**
 * Creates this daemon's part in the deployment: it finds the other daemons, follows or becomes the placer, keeps the
 * registry of backend servers and the newest configuration, and takes jobs in.
 * @param options - The daemon's identity and ports.
 */
export function createCluster(options: ClusterOptions): Cluster {
	const {ownId, availabilityZone, isKeeper, peers, timers, random, events, metrics} = options;
	const startedAtMs = timers.getNowMs();
	const incarnation = random.getIdentifier();
	const members = createMemberBook(ownId, options.contactIds, timers);
	const registry = createServerRegistry(timers);
	const reportedAtMs = new Map<string, number>();
	const linkResetAtMs = new Map<string, number>();
	const notedCallbacks = new Map<string, (isNoted: boolean) => void>();
	let view: PlacerView = {term: 0, placerId: ''};
	let isLeaving = false;
	let electedAtMs = startedAtMs;
	let followedAtMs = Number.NEGATIVE_INFINITY;
	let overtakenSinceMs: number | undefined;
	let memberListSentAtMs = Number.NEGATIVE_INFINITY;
	let heartbeatSentAtMs = Number.NEGATIVE_INFINITY;

	const documents = createDocumentHolder(document => {
		metrics.setGauge('configuration-version', document.number);
		events.write('configuration-in-force', {version: document.number, bytes: document.content.length});
		options.onConfiguration(document);
		sendHeartbeats();
	});
	const relay = createRelay({
		ownId, peers, members, getPlacerId: () => view.placerId,
	});
	const placing = createPlacingPart({
		...options,
		send(toId, message) {
			relay.sendTo(toId, message);
		},
	});
	const desk = createEntryDesk({
		timers, random, events, metrics, getPlacerView: () => view, sendToPlacer,
	});

	function sendToPlacer(message: PlacementMessage): boolean {
		return relay.sendTo(view.placerId, message);
	}

	function hearsPlacer(): boolean {
		const silenceMs = Math.min(members.getSilenceMs(view.placerId), timers.getNowMs() - followedAtMs);
		return view.placerId === ownId || (view.placerId !== '' && silenceMs < placerSilenceMs);
	}

	// Heartbeats

	function sendHeartbeatsIfDue(): void {
		const intervalMs = placing.isPlacing() ? placerHeartbeatMs : heartbeatMs;
		if (timers.getNowMs() - heartbeatSentAtMs >= intervalMs) {
			sendHeartbeats();
		}
	}

	function sendHeartbeats(): void {
		const nowMs = timers.getNowMs();
		heartbeatSentAtMs = nowMs;
		const isListDue = nowMs - memberListSentAtMs >= memberListIntervalMs;
		memberListSentAtMs = isListDue ? nowMs : memberListSentAtMs;
		const contactIds = members.getContactIds();
		options.onContacts(contactIds, members.getAliveMembers().filter(member => member.isKeeper).map(member => member.id));
		const memberIds = isListDue ? members.getAliveMembers().map(member => member.id) : undefined;
		for (const contactId of contactIds) {
			resetSilentLink(contactId);
			sendHeartbeat(contactId, memberIds);
		}
	}

	/** What waits in a link to a daemon that does not answer would arrive late and out of date. */
	function resetSilentLink(memberId: string): void {
		const nowMs = timers.getNowMs();
		const quietSinceMs = Math.max(nowMs - members.getSilenceMs(memberId), linkResetAtMs.get(memberId) ?? startedAtMs);
		if (nowMs - quietSinceMs > linkSilenceMs) {
			linkResetAtMs.set(memberId, nowMs);
			options.resetLink(memberId);
		}
	}

	function sendHeartbeat(toId: string, memberIds: string[] | undefined): void {
		const silenceMs = members.getSilenceMs(toId);
		send(toId, {
			kind: 'cluster.heartbeat',
			availabilityZone,
			isKeeper,
			incarnation,
			upMs: Math.round(timers.getNowMs() - startedAtMs),
			...view,
			hearsPlacer: hearsPlacer(),
			isLeaving,
			configurationNumber: documents.getNumber(),
			silenceMs: Number.isFinite(silenceMs) ? Math.round(silenceMs) : undefined,
			memberIds,
		});
	}

	function send(toId: string, message: ClusterMessage): void {
		peers.send(toId, message);
	}

	function handleHeartbeat(fromId: string, heartbeat: ClusterMessageOf<'cluster.heartbeat'>): void {
		const isNew = members.addHeartbeat(fromId, heartbeat);
		if (isNew) {
			memberListSentAtMs = Number.NEGATIVE_INFINITY;
			events.write('member-joined', {member: fromId, availabilityZone: heartbeat.availabilityZone, upMs: heartbeat.upMs});
			sendHeartbeat(fromId, members.getAliveMembers().map(member => member.id));
			send(fromId, {kind: 'cluster.registry-request'});
		}

		for (const memberId of heartbeat.memberIds ?? []) {
			members.addContact(memberId);
		}

		if (heartbeat.silenceMs !== undefined && heartbeat.silenceMs > linkSilenceMs) {
			resetDeafLink(fromId);
		}

		if (heartbeat.configurationNumber > documents.getNumber()) {
			requestConfiguration(fromId);
		}

		if (isNewerView(heartbeat, view)) {
			follow({term: heartbeat.term, placerId: heartbeat.placerId}, fromId);
		}
	}

	/** The other daemon is heard but does not hear this one: the way there is broken. */
	function resetDeafLink(memberId: string): void {
		const nowMs = timers.getNowMs();
		if (nowMs - (linkResetAtMs.get(memberId) ?? startedAtMs) > linkSilenceMs) {
			linkResetAtMs.set(memberId, nowMs);
			options.resetLink(memberId);
		}
	}

	let configurationRequestedAtMs = Number.NEGATIVE_INFINITY;

	function requestConfiguration(fromId: string): void {
		const nowMs = timers.getNowMs();
		if (nowMs - configurationRequestedAtMs >= configurationRequestIntervalMs) {
			configurationRequestedAtMs = nowMs;
			send(fromId, {kind: 'cluster.configuration-request', knownNumber: documents.getNumber()});
		}
	}

	// Election

	function follow(next: PlacerView, toldById: string): void {
		const previous = view;
		view = next;
		followedAtMs = timers.getNowMs();
		events.write('placer-followed', {
			term: next.term, placer: next.placerId, toldBy: toldById, previousTerm: previous.term, previousPlacer: previous.placerId,
		});
		if (previous.placerId === ownId && next.placerId !== ownId) {
			placing.stop(`daemon ${next.placerId} places in term ${next.term}`);
		}

		desk.handlePlacerChange();
	}

	function getElector(member: ClusterMember): Elector {
		return {
			id: member.id,
			isKeeper: member.isKeeper,
			isLeaving: member.isLeaving,
			isSettled: isSettled(member.upMs + members.getSilenceMs(member.id) + startToleranceMs, member.isKeeper),
			hearsPlacer: member.hearsPlacer && member.placerId === view.placerId,
		};
	}

	/** Before the first placer, keepers get the chance to begin; they are preferred. */
	function isSettled(upMs: number, ofKeeper: boolean): boolean {
		return upMs >= placerMinimumUpMs + (ofKeeper || view.placerId !== '' ? 0 : keeperHeadStartMs);
	}

	function elect(): void {
		const gapMs = timers.getNowMs() - electedAtMs;
		electedAtMs = timers.getNowMs();
		if (gapMs > longestElectionGapMs) {
			// This process stood still; what the others sent meanwhile is read first.
			return;
		}

		const own: Elector = {
			id: ownId, isKeeper, isLeaving, isSettled: isSettled(timers.getNowMs() - startedAtMs, isKeeper), hearsPlacer: hearsPlacer(),
		};
		const others = members.getAliveMembers().map(member => getElector(member));
		const reason = findClaimReason({own, others, placerId: view.placerId});
		if (reason !== undefined && getZones().size > 0) {
			becomePlacer(reason, others.length);
		}

		if (placing.isPlacing()) {
			renewServers();
			raiseTermIfOvertaken();
		}
	}

	/**
	 * After a power loss of every VM nobody knows how high the terms were. Backend servers still do: they reject the low
	 * tokens, so the term is raised until they no longer do.
	 */
	function raiseTermIfOvertaken(): void {
		const nowMs = timers.getNowMs();
		if (!placing.isOvertaken()) {
			overtakenSinceMs = undefined;
			return;
		}

		overtakenSinceMs ??= nowMs;
		if (nowMs - overtakenSinceMs >= overtakenPauseMs) {
			overtakenSinceMs = undefined;
			becomePlacer('tokens-too-low', members.getAliveMembers().length, termRaise);
		}
	}

	function becomePlacer(reason: string, aliveCount: number, raise = 1): void {
		const term = view.term + raise;
		metrics.increment('placer-elected');
		events.write('placer-elected', {
			term, reason, alive: aliveCount, previousPlacer: view.placerId, silenceMs: Math.round(Math.min(members.getSilenceMs(view.placerId), 1e9)),
		});
		placing.stop('a new term begins');
		placing.start(term);
		renewServers();
		follow({term, placerId: ownId}, ownId);
		sendHeartbeats();
	}

	function getZones(): Set<string> {
		const others = members.getCountedMembers().map(member => ({
			availabilityZone: member.availabilityZone, isAlive: members.getSilenceMs(member.id) < memberSilenceMs,
		}));
		return getClaimableZones([{availabilityZone, isAlive: true}, ...others]);
	}

	function renewServers(): void {
		const zones = getZones();
		const descriptions = registry.getDescriptions();
		const usable = descriptions.filter(({id, availabilityZone: zone}) => zones.has(zone) || placing.isServerInUse(id));
		placing.setServers(usable, descriptions.length - usable.length);
	}

	// Registry

	function addDescription(description: BackendServerDescription): 'new' | 'changed' | 'same' | 'stale' {
		const change = registry.addDescription(description);
		if (change === 'new') {
			events.write('backend-server-announced', {
				server: description.id, born: description.bornMs, availabilityZone: description.availabilityZone, state: description.state,
			});
		} else if (change === 'changed') {
			events.write('backend-server-changed', {server: description.id, state: description.state, sequence: description.sequence});
		}

		if (change === 'new' || change === 'changed') {
			renewServers();
		}

		return change;
	}

	function spread(description: BackendServerDescription, reportId: string | undefined): void {
		reportedAtMs.set(description.id, timers.getNowMs());
		for (const member of members.getAliveMembers()) {
			send(member.id, {kind: 'cluster.server-report', description, reportId: member.id === view.placerId ? reportId : undefined});
		}
	}

	function spreadAndWait(description: BackendServerDescription, onEnd: (isNoted: boolean) => void): void {
		if (view.placerId === ownId || view.placerId === '') {
			spread(description, undefined);
			onEnd(true);
			return;
		}

		const reportId = random.getIdentifier();
		const timer = timers.addTimer(reportTimeoutMs, () => {
			end(false);
		});
		const end = (isNoted: boolean) => {
			timer.cancel();
			if (notedCallbacks.delete(reportId)) {
				onEnd(isNoted);
			}
		};

		notedCallbacks.set(reportId, end);
		spread(description, reportId);
	}

	function reportServer(description: BackendServerDescription, onEnd: (isNoted: boolean) => void): void {
		const change = addDescription(description);
		if (change === 'stale') {
			onEnd(true);
			return;
		}

		if (description.state === 'draining') {
			spreadAndWait(description, onEnd);
			return;
		}

		const isDue = timers.getNowMs() - (reportedAtMs.get(description.id) ?? Number.NEGATIVE_INFINITY) >= reportIntervalMs;
		if (change !== 'same' || isDue) {
			spread(description, undefined);
		}

		onEnd(true);
	}

	function removeServer(serverId: string, bornMs: number): void {
		registry.removeServer(serverId, bornMs);
		reportedAtMs.delete(serverId);
		events.write('backend-server-left', {server: serverId, born: bornMs});
		renewServers();
	}

	// Messages

	function handleClusterMessage(fromId: string, message: ClusterMessage): void {
		switch (message.kind) {
			case 'cluster.heartbeat': {
				handleHeartbeat(fromId, message);
				break;
			}

			case 'cluster.server-report': {
				addDescription(message.description);
				if (message.reportId !== undefined) {
					send(fromId, {kind: 'cluster.server-report-noted', reportId: message.reportId});
				}

				break;
			}

			case 'cluster.server-report-noted': {
				notedCallbacks.get(message.reportId)?.(true);
				break;
			}

			case 'cluster.server-left': {
				removeServer(message.serverId, message.bornMs);
				break;
			}

			case 'cluster.registry-request': {
				send(fromId, {kind: 'cluster.registry', descriptions: registry.getDescriptions()});
				break;
			}

			case 'cluster.registry': {
				for (const description of message.descriptions) {
					addDescription(description);
				}

				break;
			}

			case 'cluster.configuration-request': {
				const document = documents.getDocument();
				if (document !== undefined && document.number > message.knownNumber) {
					send(fromId, {kind: 'cluster.configuration', ...document});
				}

				break;
			}

			case 'cluster.configuration': {
				documents.setDocument({number: message.number, content: message.content});
				break;
			}

			case 'cluster.relay': {
				relay.passOn(fromId, message);
				break;
			}

			case 'cluster.relayed': {
				relay.noteWay(message.fromId, fromId);
				handlePeerMessage(message.fromId, message.message);
				break;
			}
		}
	}

	function handlePlacementMessage(fromId: string, message: PeerMessage): void {
		const parsed = placementMessageSchema.safeParse(message);
		if (!parsed.success) {
			metrics.increment('peer-malformed');
			return;
		}

		const {data} = parsed;
		switch (data.kind) {
			case 'placement.result': {
				desk.handleResult(data.jobId, data.result);
				break;
			}

			case 'placement.cancelled': {
				desk.handleCancelled(data.jobId);
				break;
			}

			case 'placement.unknown-jobs': {
				desk.handleUnknownJobs(data.jobIds);
				break;
			}

			case 'placement.submit':
			case 'placement.cancel':
			case 'placement.open-jobs': {
				placing.handleMessage(fromId, data);
				break;
			}
		}
	}

	function handlePeerMessage(fromId: string, message: PeerMessage): void {
		if (message.kind.startsWith('placement.')) {
			handlePlacementMessage(fromId, message);
			return;
		}

		const parsed = clusterMessageSchema.safeParse(message);
		if (parsed.success) {
			handleClusterMessage(fromId, parsed.data);
		} else {
			metrics.increment('peer-malformed');
		}
	}

	const subscriptions = [
		timers.addInterval(electionIntervalMs, elect),
		timers.addInterval(electionIntervalMs, sendHeartbeatsIfDue),
		timers.addInterval(reportIntervalMs, () => {
			registry.forgetSilent(placing.isServerInUse);
		}),
	];
	sendHeartbeats();

	return {
		handlePeerMessage,
		submit: desk.submit,
		cancel: desk.cancel,
		getPendingCount: queueName => (placing.isPlacing() ? placing.getPendingCount(queueName) : desk.getOpenCountOf(queueName)),
		reportServer,
		removeServer(serverId) {
			const description = registry.findDescription(serverId);
			if (description === undefined) {
				return;
			}

			removeServer(serverId, description.bornMs);
			for (const member of members.getAliveMembers()) {
				send(member.id, {kind: 'cluster.server-left', serverId, bornMs: description.bornMs});
			}
		},
		addContacts(contactIds) {
			for (const contactId of contactIds) {
				members.addContact(contactId);
			}
		},
		setConfiguration: documents.setDocument,
		getConfiguration: documents.getDocument,
		getStatus: () => ({
			...view,
			hearsPlacer: hearsPlacer(),
			aliveMemberIds: members.getAliveMembers().map(member => member.id),
			serverCount: registry.getDescriptions().length,
			openJobCount: desk.getOpenCount(),
		}),
		startLeaving() {
			isLeaving = true;
			sendHeartbeats();
		},
		stop() {
			for (const subscription of subscriptions) {
				subscription.cancel();
			}

			desk.stop();
			placing.stop('the daemon stops');
		},
	};
}
