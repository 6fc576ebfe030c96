import {configurationSchema, type ConfigurationObjects} from '@camphortack/configuration';
import {createSeededRandomSource, type Member} from '@camphortack/core';
import {
	FakeNetwork, RecordingEventLog, RecordingMetricSink, VirtualTimers,
} from '@camphortack/testkit';
import {
	createDistributedLimiter, type DistributedLimiter, type LimitDecision, type LimitRequest,
} from '@camphortack/policy';
import {NodeTimers} from './node-timers.js';

export type ClusterOptions = {
	seed: number;
	zones: number;
	nodesPerZone: number;
	lossRatio?: number;
	duplicationRatio?: number;
	maxDelayMs?: number;
	maxTaskRunTimeMs?: number;
};

export type ClusterNode = {
	id: string;
	zone: string;
	incarnation: number;
	timers: NodeTimers;
	limiter: DistributedLimiter;
	isAlive: boolean;
	version: number;
};

export const defaultMaxTaskRunTimeMs = 5000;

/** Simulates limiters over a fake network. A delayed oracle replaces the membership protocol, and tasks continue to run after their daemon crashes. */
export class LimitCluster {
	readonly timers = new VirtualTimers();
	readonly random;
	readonly network: FakeNetwork;
	readonly metrics = new RecordingMetricSink();
	readonly events = new RecordingEventLog();
	readonly nodes = new Map<string, ClusterNode>();
	running = 0;
	readonly starts: Array<{atMs: number; count: number}> = [];
	readonly uses: Array<{atMs: number; seconds: number}> = [];
	admittedTasks = 0;
	offeredTasks = 0;
	#jobs = 0;
	#groups = new Map<string, number>();
	#configuration = this.#parse({}, 1);

	constructor(readonly options: ClusterOptions) {
		this.random = createSeededRandomSource(options.seed);
		this.network = new FakeNetwork({
			timers: this.timers,
			random: this.random,
			minDelayMs: 0.5,
			maxDelayMs: options.maxDelayMs ?? 1,
			lossRatio: options.lossRatio ?? 0,
			duplicationRatio: options.duplicationRatio ?? 0,
		});
	}

	start(objects: Partial<ConfigurationObjects>): void {
		this.#configuration = this.#parse(objects, 1);
		for (let zone = 0; zone < this.options.zones; zone++) {
			for (let index = 0; index < this.options.nodesPerZone; index++) {
				this.#addNode(`z${zone}n${index}`, `z${zone}`, 1);
			}
		}

		this.updateViews(0);
	}

	publish(objects: Partial<ConfigurationObjects>): void {
		this.#configuration = this.#parse(objects, this.#configuration.version + 1);
		for (const node of this.nodes.values()) {
			this.#distributeConfiguration(node);
		}
	}

	crash(id: string): void {
		const node = this.nodes.get(id)!;
		node.isAlive = false;
		node.timers.stop();
		node.limiter.stop();
		this.network.removePeer(id);
		this.updateViews();
	}

	restart(id: string): void {
		const node = this.nodes.get(id)!;
		if (!node.isAlive) {
			this.#addNode(id, node.zone, node.incarnation + 1);
			this.updateViews();
		}
	}

	/** Assigns each node to a group. Only nodes of the same group can reach each other. */
	setGroups(groupOf: (node: ClusterNode) => number): void {
		this.network.healLinks();
		const all = [...this.nodes.values()];
		this.#groups = new Map(all.map(node => [node.id, groupOf(node)]));
		for (const left of all) {
			for (const right of all) {
				if (this.#groups.get(left.id) !== this.#groups.get(right.id)) {
					this.network.cutLink(left.id, right.id);
				}
			}
		}

		this.updateViews();
		for (const node of all) {
			this.#distributeConfiguration(node);
		}
	}

	updateViews(maxDelayMs = 2500): void {
		for (const node of this.nodes.values()) {
			this.timers.addTimer(maxDelayMs * (0.4 + (0.6 * this.random.getFraction())), () => {
				// A paused process misses this update, and learns of changes only from a later one.
				if (node.isAlive && !node.timers.isPaused) {
					node.limiter.setMembers(this.#getView(node));
				}
			});
		}
	}

	offer(id: string, taskCount: number, runTimeMs: number): void {
		const node = this.nodes.get(id)!;
		const jobId = `${++this.#jobs}`;
		this.offeredTasks += taskCount;
		const request: LimitRequest = {
			jobId,
			customer: 'joiner',
			service: 'pricing',
			pool: 'walnut',
			taskCount,
			expectedWorkerSeconds: taskCount * runTimeMs / 1000,
		};
		node.timers.run(() => {
			if (node.isAlive) {
				node.limiter.requestAdmission(request, decision => {
					this.#startJob(node, request, decision, runTimeMs);
				});
			}
		});
	}

	#startJob(node: ClusterNode, {jobId, taskCount}: LimitRequest, decision: LimitDecision, runTimeMs: number): void {
		if (!decision.isAdmitted) {
			return;
		}

		this.running += taskCount;
		this.admittedTasks += taskCount;
		this.starts.push({atMs: this.timers.getNowMs(), count: taskCount});
		for (let task = 0; task < taskCount; task++) {
			this.timers.addTimer(runTimeMs, () => {
				this.running--;
				this.uses.push({atMs: this.timers.getNowMs(), seconds: runTimeMs / 1000});
				node.timers.run(() => {
					node.limiter.endTask(jobId, runTimeMs / 1000);
				});
			});
		}
	}

	#getView(node: ClusterNode): Member[] {
		const group = this.#groups.get(node.id) ?? 0;
		const reachable = [...this.nodes.values()].filter(other => other === node
			|| (other.isAlive && !other.timers.isPaused && (this.#groups.get(other.id) ?? 0) === group));
		return reachable.map(other => ({
			id: other.id,
			incarnation: `${other.incarnation}`,
			availabilityZone: other.zone,
			roles: ['entry'],
			host: '127.0.0.1',
			peerPort: 1,
		}));
	}

	#addNode(id: string, zone: string, incarnation: number): void {
		const timers = new NodeTimers(this.timers, 0.99 + (0.02 * this.random.getFraction()));
		const node: ClusterNode = {
			id,
			zone,
			incarnation,
			timers,
			isAlive: true,
			version: 0,
			limiter: createDistributedLimiter({
				ownId: id,
				incarnation: `${incarnation}`,
				availabilityZone: zone,
				timers,
				random: this.random,
				metrics: this.metrics,
				events: this.events,
				peers: this.network.addPeer(id, (from, message) => {
					timers.run(() => {
						node.limiter.handlePeerMessage(from, message);
					});
				}),
				minZoneMembers: this.options.nodesPerZone,
				earlierUse: incarnation === 1 ? 'none' : 'possible',
				maxTaskRunTimeMs: this.options.maxTaskRunTimeMs ?? defaultMaxTaskRunTimeMs,
			}),
		};
		this.nodes.set(id, node);
		this.#distributeConfiguration(node, 0);
	}

	/** Delivers the latest configuration to a node in group 0, which is the group that can reach the keepers. */
	#distributeConfiguration(node: ClusterNode, maxDelayMs = 3000): void {
		const configuration = this.#configuration;
		if ((this.#groups.get(node.id) ?? 0) !== 0) {
			return;
		}

		this.timers.addTimer(maxDelayMs * this.random.getFraction(), () => {
			node.timers.run(() => {
				if (node.isAlive && node.version < configuration.version) {
					node.version = configuration.version;
					node.limiter.setConfiguration(configuration);
				}
			});
		});
	}

	#parse(objects: Partial<ConfigurationObjects>, version: number) {
		const availabilityZones = Object.fromEntries(Array.from({length: this.options?.zones ?? 0}, (_, zone) => [`z${zone}`, {}]));
		return configurationSchema.parse({version, objects: {availabilityZones, customers: {joiner: {limits: ['bill']}}, ...objects}});
	}
}
