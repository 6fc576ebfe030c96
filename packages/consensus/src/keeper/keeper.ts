import {createConfigurationMachine} from '../publish/configuration-machine.js';
import {createPublishForwarder} from '../publish/publish-forwarder.js';
import type {DocumentResult, NumberedDocument} from '../publish/document-schemas.js';
import {createRequestForwarder} from '../publish/request-forwarder.js';
import {createAppendHandler} from './append-handler.js';
import {createApplier} from './applier.js';
import {createBarrier} from './barrier.js';
import {createBootstrap} from './bootstrap.js';
import {createDocumentPublisher} from './document-publisher.js';
import {createElection} from './election.js';
import {createEvacuationOrders} from './evacuation-orders.js';
import {createKeeperChanges} from './keeper-changes.js';
import {createKeeperCore} from './keeper-core.js';
import {keeperMessageSchema, type KeeperMessage, type KeeperMessageOf} from './keeper-messages.js';
import type {Keeper, KeeperOptions, KeeperRole} from './keeper-options.js';
import {getVoters, type KeeperRecord} from './keeper-set.js';
import {createKeeperStore} from './keeper-store.js';
import {createLearnerFeeder} from './learner-feeder.js';
import {createLeaving} from './leaving.js';
import {createPublisher} from './publisher.js';
import {createReplication} from './replication.js';

/**
 * Creates a keeper on top of its log. A keeper that is the only one in the initial list elects itself immediately.
 * @param options - The id, the log and the dependencies of the keeper.
 * @throws {CamphortackError} If the log belongs to another keeper.
 *
 * @example
 * ```ts
 * const keeper = createKeeper({ownId: 'vm-1', initialKeeperIds: ['vm-1'], availabilityZone: 'north', log, peers, timers, random, events, metrics});
 * keeper.publish({baseVersion: 0, publishId: 'first', objects, author: 'anna'}, result => {
 * 	console.log(result.outcome);
 * });
 * ```
 */
export function createKeeper(options: KeeperOptions): Keeper {
	const {ownId, timers, metrics, peers} = options;
	const store = createKeeperStore({keeperId: ownId, log: options.log, random: options.random});
	const machine = createConfigurationMachine();
	const core = createKeeperCore({
		options, store, machine, onStepDown: handleStepDown,
	});
	const feeder = createLearnerFeeder(core);
	const applier = createApplier({
		core,
		onCommitted: feeder.handleCommitted,
		onApplied(entry, results) {
			publisher.handleApplied(entry, results.publish);
			documentPublisher.handleApplied(entry, results.document);
			evacuationOrders.handleApplied(entry);
			if (entry.command.type === 'set-keepers') {
				logVoters(entry.command.keepers);
				stepDownIfRemoved();
			}

			changes.proposeNextChange();
			barrier.handleApplied();
		},
		onDelivered() {
			barrier.handleDelivered();
		},
	});
	const replication = createReplication({
		core,
		applier,
		needsVoter: () => changes.needsVoter(),
		areVotesKept: () => changes.areVotesKept(),
		onProgress: handleProgress,
	});
	const publisher = createPublisher(core, replication);
	const documentPublisher = createDocumentPublisher(core, replication);
	const evacuationOrders = createEvacuationOrders(core, replication);
	const changes = createKeeperChanges(core, replication);
	const leaving = createLeaving(core, replication, changes);
	const barrier = createBarrier(core, replication, applier);
	const election = createElection(core, () => {
		replication.start();
	});
	const appendHandler = createAppendHandler(core, applier, election);
	const bootstrap = createBootstrap(core, () => {
		election.startCampaign();
	});
	const forwarder = createPublishForwarder({
		timers, random: options.random, getContent: machine.getContent, send: sendProposal,
	});
	const documentForwarder = createRequestForwarder<NumberedDocument, DocumentResult>({
		timers,
		random: options.random,
		resendMs: core.timings.documentResendMs,
		timeoutMs: core.timings.documentTimeoutMs,
		timeoutResult: {outcome: 'no-majority'},
		send: sendDocument,
	});
	const forwardedRequests = new Set<string>();
	let isConfirmed = false;

	function handleStepDown(): void {
		replication.stop();
		publisher.reset();
		documentPublisher.reset();
		evacuationOrders.reset();
		changes.reset();
	}

	function logVoters(keepers: readonly KeeperRecord[]): void {
		if (core.role === 'leader') {
			const learnerCount = keepers.filter(({role}) => role === 'learner').length;
			options.events.write('voters-changed', {voters: getVoters(keepers).map(({keeperId}) => keeperId).join(' '), learnerCount});
		}
	}

	function stepDownIfRemoved(): void {
		if (core.role === 'leader' && !core.isVoter()) {
			core.becomeFollower(store.getTerm());
		}
	}

	function handleProgress(): void {
		changes.proposeNextChange();
		leaving.transferLeadership();
	}

	function sendProposal(requestId: string, proposal: KeeperMessageOf<'consensus.publish'>['proposal']): boolean {
		if (core.role === 'leader') {
			publisher.handleProposal(proposal, result => {
				forwarder.handleResult(requestId, result);
			});
			return true;
		}

		if (core.leaderId === undefined) {
			return false;
		}

		core.send(core.leaderId, {
			kind: 'consensus.publish', requestId, proposal, isFromKeeper: true,
		});
		return true;
	}

	function sendDocument(requestId: string, document: NumberedDocument): void {
		if (core.role === 'leader') {
			documentPublisher.handleDocument(document, result => {
				documentForwarder.handleResult(requestId, result);
			});
		} else if (core.leaderId !== undefined) {
			core.send(core.leaderId, {kind: 'consensus.put-document', requestId, document});
		}
	}

	function handlePutDocument(fromPeerId: string, {requestId, document}: KeeperMessageOf<'consensus.put-document'>): void {
		if (core.role === 'leader') {
			documentPublisher.handleDocument(document, result => {
				core.send(fromPeerId, {kind: 'consensus.put-document-result', requestId, result});
			});
		}
	}

	function handlePublish(fromPeerId: string, message: KeeperMessageOf<'consensus.publish'>): void {
		const {requestId, proposal, isFromKeeper} = message;
		const key = `${fromPeerId} ${requestId}`;
		if (core.role === 'leader') {
			publisher.handleProposal(proposal, result => {
				peers.send(fromPeerId, {kind: isFromKeeper ? 'consensus.publish-result' : 'configuration.publish-result', requestId, result});
			});
		} else if (!isFromKeeper && !forwardedRequests.has(key)) {
			forwardedRequests.add(key);
			forwarder.submitProposal(proposal, result => {
				forwardedRequests.delete(key);
				if (result.outcome !== 'no-majority') {
					peers.send(fromPeerId, {kind: 'configuration.publish-result', requestId, result});
				}
			});
		}
	}

	function confirmIfNeeded(): void {
		if (isConfirmed || core.isStopped) {
			return;
		}

		barrier.confirm(isUpToDate => {
			if (isUpToDate) {
				isConfirmed = true;
				confirmationTimer.cancel();
				startDelivery();
			}
		});
	}

	/** Persists the confirmation before delivery starts: the keeper never holds less than it has delivered, so it needs no confirmation after a restart. */
	function startDelivery(): void {
		if (store.wasConfirmed()) {
			applier.startDelivery();
			return;
		}

		store.setConfirmed(() => {
			if (!core.isStopped) {
				applier.startDelivery();
			}
		});
	}

	function handle(fromPeerId: string, message: KeeperMessage): void {
		switch (message.kind) {
			case 'consensus.vote-request': {
				election.handleVoteRequest(fromPeerId, message);
				break;
			}

			case 'consensus.vote-answer': {
				election.handleVoteAnswer(message);
				break;
			}

			case 'consensus.append': {
				appendHandler.handleAppend(fromPeerId, message);
				leaving.handleAppend(message);
				break;
			}

			case 'consensus.feed': {
				appendHandler.handleFeed(message);
				break;
			}

			case 'consensus.append-answer': {
				replication.handleAppendAnswer(message);
				break;
			}

			case 'consensus.snapshot-piece': {
				appendHandler.handleSnapshotPiece(fromPeerId, message);
				break;
			}

			case 'consensus.snapshot-answer': {
				replication.handleSnapshotAnswer(message);
				break;
			}

			case 'consensus.timeout-now': {
				election.handleTimeoutNow(message);
				break;
			}

			case 'consensus.join': {
				changes.handleJoin(fromPeerId, message);
				break;
			}

			case 'consensus.bootstrap-request': {
				bootstrap.handleRequest(fromPeerId, message);
				break;
			}

			case 'consensus.bootstrap-answer': {
				bootstrap.handleAnswer(fromPeerId, message);
				break;
			}

			case 'consensus.publish': {
				handlePublish(fromPeerId, message);
				break;
			}

			case 'consensus.publish-result': {
				forwarder.handleResult(message.requestId, message.result);
				break;
			}

			case 'consensus.put-document': {
				handlePutDocument(fromPeerId, message);
				break;
			}

			case 'consensus.put-document-result': {
				documentForwarder.handleResult(message.requestId, message.result);
				break;
			}

			case 'consensus.barrier': {
				barrier.handleRequest(fromPeerId, message);
				break;
			}

			case 'consensus.barrier-answer': {
				barrier.handleAnswer(message);
				break;
			}

			case 'consensus.set-evacuation':
			case 'consensus.set-evacuation-result': {
				evacuationOrders.handleMessage(fromPeerId, message);
				break;
			}
		}
	}

	function getRole(): KeeperRole {
		const own = store.getKeepers().find(keeper => keeper.identity === store.getIdentity());
		if (own === undefined) {
			return 'joining';
		}

		return own.role === 'learner' ? 'learner' : core.role;
	}

	if (store.wasConfirmed()) {
		applier.startDelivery();
	}

	election.start();
	bootstrap.start();
	confirmIfNeeded();
	const confirmationTimer = timers.addInterval(core.timings.joinIntervalMs, confirmIfNeeded);

	return {
		handlePeerMessage(fromPeerId, message) {
			if (core.isStopped) {
				return;
			}

			const parsed = keeperMessageSchema.safeParse(message);
			if (!parsed.success) {
				metrics.increment('peer-malformed');
				return;
			}

			const isForOther = 'toIdentity' in parsed.data && parsed.data.toIdentity !== store.getIdentity();
			if (!isForOther) {
				handle(fromPeerId, parsed.data);
			}
		},
		setMembers(members) {
			bootstrap.setKnownKeepers(members.filter(member => member.roles.includes('keeper')).map(member => member.id));
		},
		publish(request, onResult) {
			forwarder.submitRequest(request, onResult);
		},
		putDocument: documentForwarder.submit,
		findDocument: applier.findDurableDocument,
		addDocumentListener: applier.addDocumentListener,
		setEvacuation: evacuationOrders.setEvacuation,
		findEvacuations: applier.getDurableEvacuations,
		addEvacuationListener: applier.addEvacuationListener,
		addListener: applier.addListener,
		confirm: barrier.confirm,
		isSoleConfirmedInZone() {
			const inZone = store.getKeepers().filter(keeper => keeper.availabilityZone === options.availabilityZone);
			return isConfirmed && inZone.length === 1 && inZone[0]!.identity === store.getIdentity();
		},
		getHistory: machine.getHistory,
		removeKeeper: changes.removeKeeper,
		getStatus: () => ({
			identity: store.getIdentity(),
			clusterId: store.getLastIndex() > 0 ? store.getBinding()?.clusterId : undefined,
			isFounder: store.getBinding()?.bootstrapperId !== undefined && store.getLastIndex() > 0,
			role: getRole(),
			leaderId: core.leaderId,
			term: store.getTerm(),
			lastIndex: store.getLastIndex(),
			commitIndex: store.getCommitIndex(),
			version: machine.getContent().version,
			keepers: store.getKeepers(),
			quorumAgeMs: core.role === 'leader' ? replication.getQuorumAgeMs() : timers.getNowMs() - core.lastLeaderContactMs,
		}),
		startLeaving: leaving.start,
		hasLeft: leaving.isComplete,
		stop() {
			core.isStopped = true;
			confirmationTimer.cancel();
			leaving.stop();
			election.stop();
			replication.stop();
			feeder.stop();
			bootstrap.stop();
			forwarder.stop();
			documentForwarder.stop();
			evacuationOrders.stop();
		},
	};
}
