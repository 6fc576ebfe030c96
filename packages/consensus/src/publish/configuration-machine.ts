import {z} from 'zod';
import {configurationObjectsSchema} from '@camphortack/configuration';
import {applyToContent, getInverseChanges} from '../content/apply-changes.js';
import {emptyContent, type ConfigurationContent} from '../content/configuration-content.js';
import {createVersionHistory, versionRecordSchema, type VersionHistory} from '../content/version-history.js';
import {createDocumentMachine, type DocumentMachine} from './document-machine.js';
import {numberedDocumentSchema} from './document-schemas.js';
import {createEvacuationMachine, type EvacuationMachine} from './evacuation-machine.js';
import {evacuationStateSchema} from './evacuation-schemas.js';
import type {PublishProposal, PublishResult} from './publish-schemas.js';

/** The state of the state machine, as stored in a snapshot. */
export const machineStateSchema = z.object({
	version: z.int(),
	digest: z.number(),
	objects: configurationObjectsSchema,
	history: z.array(versionRecordSchema),
	document: numberedDocumentSchema.optional(),
	/** Omitted before the first order. */
	evacuations: evacuationStateSchema.optional(),
});

export type MachineState = z.infer<typeof machineStateSchema>;

/** The replicated state machine. It is deterministic: the same proposals in the same order give the same results on every keeper. */
export type ConfigurationMachine = {
	/** The documents, which are numbered independently of the versions. */
	readonly documents: DocumentMachine;
	/** The evacuated availability zones, with revisions of their own. */
	readonly evacuations: EvacuationMachine;
	getContent(): ConfigurationContent;
	getHistory(): VersionHistory;
	/** Finds the result of a proposal if it is known without committing it: an earlier publish with the same id, a conflict or an unknown base. */
	findResult(proposal: PublishProposal): PublishResult | undefined;
	apply(proposal: PublishProposal): PublishResult;
	getState(): MachineState;
	setState(state: MachineState): void;
};

/** Creates a state machine at version 0. */
export function createConfigurationMachine(): ConfigurationMachine {
	let content = emptyContent;
	let history = createVersionHistory();
	const documents = createDocumentMachine();
	const evacuations = createEvacuationMachine();

	function findResult(proposal: PublishProposal): PublishResult | undefined {
		const earlier = history.findPublish(proposal.publishId);
		if (earlier !== undefined) {
			const isSame = earlier.digest === proposal.digest && earlier.version === proposal.baseVersion + 1;
			return isSame ? {outcome: 'published', version: earlier.version} : {outcome: 'rejected', reason: 'publish-id-reused'};
		}

		if (proposal.baseVersion > content.version) {
			return {outcome: 'rejected', reason: 'unknown-base'};
		}

		return proposal.baseVersion === content.version ? undefined : getConflict(proposal.baseVersion);
	}

	function getConflict(baseVersion: number): PublishResult {
		const winner = history.findVersion(baseVersion + 1);
		return {
			outcome: 'conflict',
			version: content.version,
			winner: winner === undefined ? undefined : {version: winner.version, author: winner.author, publishId: winner.publishId},
		};
	}

	function apply(proposal: PublishProposal): PublishResult {
		const known = findResult(proposal);
		if (known !== undefined) {
			return known;
		}

		const changes = proposal.changes ?? [];
		const next = applyToContent(content, content.version + 1, changes);
		if (proposal.changes === undefined || next.digest !== proposal.digest) {
			return {outcome: 'rejected', reason: 'digest-mismatch'};
		}

		const inverse = getInverseChanges(content.objects, changes);
		history.addVersion({
			version: next.version,
			publishId: proposal.publishId,
			author: proposal.author,
			digest: next.digest,
			changes,
			inverse,
			sizeBytes: JSON.stringify(changes).length + JSON.stringify(inverse).length,
		});
		content = next;
		return {outcome: 'published', version: next.version};
	}

	return {
		documents,
		evacuations,
		getContent: () => content,
		getHistory: () => history,
		findResult,
		apply,
		getState: () => ({
			...content, history: [...history.getRecords()], document: documents.findDocument(), evacuations: evacuations.findState(),
		}),
		setState(state) {
			content = {version: state.version, digest: state.digest, objects: state.objects};
			history = createVersionHistory(state.history);
			documents.setDocument(state.document);
			evacuations.setState(state.evacuations);
		},
	};
}
