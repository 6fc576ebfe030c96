import {createSeededRandomSource, type TimerService} from '@camphortack/core';
import {RecordingEventLog, RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import {
	createCrashRegister, createPlacer, type BackendServerClient, type CrashRegister, type EarlierJobs, type HandoverSource, type JobOutcome, type JobRequest, type Placer, type PlacerOptions,
} from '../../src/index.js';
import {createFakeFleet, type FakeFleet, type FakeFleetOptions} from './fake-fleet.js';

type SuccessorOptions = {
	wrapClient?: (client: BackendServerClient) => BackendServerClient;
	placerTimers?: TimerService;
	earlierJobs?: EarlierJobs;
};

export type TestPlacer = {
	timers: VirtualTimers;
	fleet: FakeFleet;
	placer: Placer;
	events: RecordingEventLog;
	metrics: RecordingMetricSink;
	/** The crashes that all placers know of. */
	crashRegister: CrashRegister;
	results: Map<string, JobOutcome>;
	/** The entry daemon that each result was reported to. */
	resultEntryIds: Map<string, string>;
	/** When each result was reported. */
	endedAtMs: Map<string, number>;
	/** Called with each result, after it is recorded. */
	onResult?: ((jobId: string, result: JobOutcome) => void) | undefined;
	/** The sources whose missing records the placers have requested. */
	requestedSources: HandoverSource[];
	/** Submits a job to the placer in use, at first the one that was created with the fleet. */
	submit(request: Partial<JobRequest> & {jobId: string}, options?: {entryId?: string; generation?: number; submissionId?: string; handover?: HandoverSource}): void;
	/** Submits later jobs to another placer. */
	usePlacer(next: Placer): void;
	/** Creates another placer for the same backend servers. Its daemon number is the term unless it is given, and its timers are those of the fleet. */
	createSuccessor(term: number, daemonId: string, daemonNumber?: number, rest?: SuccessorOptions): Placer;
};

/** The reports of all entry daemons, which have handed over each job that they had submitted before. */
export const completeReports: EarlierJobs = {mayHaveStarted: () => false, mayBeHandedOver: () => false, getSilenceMs: () => 0};

export const defaultRequest: Omit<JobRequest, 'jobId'> = {
	queueName: 'estimates',
	service: 'quotes',
	payload: 'text',
	steps: [{
		taskCount: 2, cpuMillicores: 27_000, memoryMb: 64, gpuCount: 0, estimateMs: 100, dependsOn: [],
	}],
	mostAttempts: 3,
	stretch: 1.6,
	slackMs: 60,
	ageMs: 0,
	callerTimeoutMs: 1500,
};

/** The id of an earlier placer whose backend servers the entry daemons have not recorded. */
export const unknownPlacerId = 'unknown';

/**
 * Creates a placer for a fake fleet.
 * @param options - Options of the fleet.
 */
export function createTestPlacer(options: Partial<FakeFleetOptions> & Pick<PlacerOptions, 'remoteRunFactor' | 'jobMemoryBytes'> = {}): TestPlacer {
	const timers = new VirtualTimers();
	const fleet = createFakeFleet({
		timers,
		serverCount: 4,
		onRestart() {
			placerInUse.setServers(fleet.getDescriptions(), 0);
		},
		...options,
	});
	const events = new RecordingEventLog();
	const metrics = new RecordingMetricSink();
	const results = new Map<string, JobOutcome>();
	const resultEntryIds = new Map<string, string>();
	const endedAtMs = new Map<string, number>();
	const requestedSources: HandoverSource[] = [];
	const crashRegister = createCrashRegister(timers);

	function createSuccessor(term: number, daemonId: string, daemonNumber = term, {wrapClient = client => client, placerTimers = timers, earlierJobs}: SuccessorOptions = {}): Placer {
		return createPlacer({
			term,
			daemonNumber,
			backendServerClient: wrapClient(fleet.getClient(daemonId)),
			timers: placerTimers,
			random: createSeededRandomSource(term),
			events,
			metrics,
			remoteRunFactor: options.remoteRunFactor,
			jobMemoryBytes: options.jobMemoryBytes,
			earlierJobs,
			crashRegister,
			onDescriptionRefuted() {
				// These tests have no registry.
			},
			onCrashRecord() {
				// The placers of a test share one register.
			},
			earlierServers: {
				findServers: ({placers}) => placers.some(({placerId}) => placerId === unknownPlacerId) ? undefined : fleet.getDescriptions(),
				requestMissing(source) {
					requestedSources.push(source);
				},
				hasLeft: () => false,
			},
			serverRecorder: {
				setServers() {
					// The entry daemons of these tests record everything at once.
				},
				getUnrecordedIds: () => new Set(),
			},
			onResult(entryId, jobId, result) {
				results.set(jobId, result);
				resultEntryIds.set(jobId, entryId);
				endedAtMs.set(jobId, timers.getNowMs());
				test.onResult?.(jobId, result);
			},
		});
	}

	// There is no placer before the first.
	const placer = createSuccessor(1, 'first', 1, {earlierJobs: completeReports});
	let placerInUse = placer;
	const test: TestPlacer = {
		timers,
		fleet,
		placer,
		events,
		metrics,
		crashRegister,
		results,
		resultEntryIds,
		endedAtMs,
		createSuccessor,
		requestedSources,
		submit(request, {
			entryId = 'entry', generation = 0, submissionId = 'one', handover,
		} = {}) {
			placerInUse.submit(entryId, {
				kind: 'placement.submit', request: {...defaultRequest, ...request}, generation, submissionId, mayHaveStarted: generation > 0, handover,
			});
		},
		usePlacer(next) {
			placerInUse = next;
		},
	};
	placer.setServers(fleet.getDescriptions(), 0);
	return test;
}
