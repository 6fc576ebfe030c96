import {spawn} from 'node:child_process';
import {
	createWriteStream, mkdirSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {call} from './call.js';
import {startPeerProxy} from './peer-proxy.js';

/** The command of the deploy file, from the root of the repository. */
const command = ['--max-old-space-size=200', 'target/camphortackd.mjs'];
const portCount = 5;
const restartDelayMs = 300;
const operatorIntervalMs = 250;
const operatorTimeoutMs = 20_000;
const readyTimeoutMs = 20_000;

/** The bounds of the site file `rw-atelier.toml`. */
const boundLines = [
	'bounds.seedLagS=3',
	'bounds.addrReuseS=2',
	'bounds.stabilityWindowMs=3000',
	'bounds.ackMs=4000',
	'bounds.catchUpS=4',
	'bounds.drainMs=2000',
	'bounds.graceS=6',
	'bounds.lossSlackMs=200',
	'bounds.configApplyMs=2000',
	'bounds.rollbackSlackMs=250',
	'bounds.maxSkewMs=5000',
	'bounds.recoveryS=12',
	'bounds.maxHoldMs=1000',
	'bounds.stopMs=50',
	'bounds.gangTimeoutMs=3000',
	'bounds.cancel_ms=3000',
	'bounds.visible_ms=3000',
	'bounds.early_ms=250',
	'bounds.finish_s=14',
	'bounds.status_s=120',
	'bounds.remoteFactor=3',
	'bounds.checkpointS=1',
	'bounds.restoreMs=600',
	'bounds.noticeMs=4500',
	'bounds.migrateS=1.5',
	'bounds.maintenanceS=2',
	'bounds.fencingEnforced=true',
	'bounds.leaseMs=3000',
	'bounds.thawMs=300',
	'bounds.paceMs=100',
	'bounds.harmMs=4000',
	'bounds.retransmitMs=1300',
];

/**
 * Creates a deployment of the project's own program on loopback addresses, one address for each machine.
 * @param options - The zones, the number of entry machines in each, and the record.
 */
export async function createDeployment({zones, entriesPerZone, record, canCut = false}) {
	const folder = mkdtempSync(path.join(tmpdir(), 'review-3-'));
	const secondOctet = randomOctet();
	const thirdOctet = randomOctet();
	const prefix = `127.${secondOctet}.${thirdOctet}`;
	const proxies = [];
	let cutZone;
	const ports = await findFreePorts(`${prefix}.1`);
	const machines = [
		...zones.flatMap((zone, position) => Array.from({length: entriesPerZone}, (_, index) => ({
			name: `edge-${zone}-${index + 1}`, role: 'entry', zone, host: `${prefix}.${10 + (position * 10) + index}`,
		}))),
		...zones.map((zone, position) => ({
			name: `core-${zone}-1`, role: 'keeper', zone, host: `${prefix}.${100 + position}`,
		})),
	];
	const keepers = machines.filter(({role}) => role === 'keeper');
	let seedIps = [];
	let isEnding = false;

	/** With cuts, the others connect to an address of a proxy. */
	function prepareMachine(machine) {
		machine.ip = canCut ? machine.host.replace(prefix, `127.${secondOctet}.${thirdOctet + 1}`) : machine.host;
		machine.front = ports.front;
		machine.readiness = ports.readiness;
		machine.control = ports.control;
		machine.log = createWriteStream(path.join(folder, `${machine.name}.log`));
	}

	for (const machine of machines) {
		prepareMachine(machine);
	}

	seedIps = keepers.map(({ip}) => ip);

	function isCut(fromIp, toIp) {
		const from = machines.find(({ip}) => ip === fromIp);
		const to = machines.find(({ip}) => ip === toIp);
		return cutZone !== undefined && from !== undefined && (from.zone === cutZone) !== (to.zone === cutZone);
	}

	for (const {host, ip} of canCut ? machines : []) {
		// eslint-disable-next-line no-await-in-loop -- A few proxies, one after the other.
		proxies.push(await startPeerProxy({
			host: ip, port: ports.peers, targetHost: host, isCut,
		}));
	}

	/** Cuts a zone off from the others, or heals the cut. */
	function setCutZone(zone) {
		cutZone = zone;
		record.write('cut', {zone});
		for (const proxy of proxies) {
			proxy.update();
		}
	}

	function writeSettings(machine, isFirst) {
		const {name, role, zone, host, ip} = machine;
		const isEntry = role === 'entry';
		const dataFolder = path.join(folder, `${name}-data`);
		mkdirSync(dataFolder, {recursive: true});
		machine.settingsPath = path.join(folder, `${name}.conf`);
		writeFileSync(machine.settingsPath, [
			`nodeName=${name}`,
			`role=${role}`,
			`machineClass=${isEntry ? 'edge' : 'core'}`,
			`serves=${isEntry ? 'edge' : 'control_plane'}`,
			`ip=${ip}`,
			`camphortack.listenHost=${host}`,
			`zone=${zone}`,
			'region=loopback',
			...zones.map(other => `zones.${other}=loopback`),
			...(isEntry ? [`bindAddrs.front=${host}:${ports.front}`, `bindAddrs.readiness=${host}:${ports.readiness}`] : [`bindAddrs.control=${host}:${ports.control}`, `dataDir=${dataFolder}`]),
			`portRange=${ports.peers},${ports.peers + 1}`,
			`seeds=${seedIps.map(seed => `${seed}:${ports.control}`).join(',')}`,
			`bootstrap=${isFirst}`,
			`lossCounts=${!isEntry}`,
			'limits.cpuShare=0.675',
			`limits.cores=${isEntry ? 1 : 2}`,
			'limits.memoryMb=350',
			'limits.maxFds=4100',
			'limits.bandwidthMbps=1000.0',
			`limits.diskMb=${isEntry ? 0 : 128}`,
			'discovery=registration',
			'entry=vip',
			'heartbeatMs=1500',
			'contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing',
			'faultTolerance.machines=1',
			'faultTolerance.zones=1',
			'faultTolerance.regions=0',
			...boundLines,
			'config_mode=highest',
			'orders=invocation',
			`camphortack.metricsPort=${ports.metrics}`,
		].join('\n'));
	}

	/** Starts the process of a machine; like the platform, it starts it again after it has ended. */
	function startMachine(machine, isFirst) {
		writeSettings(machine, isFirst);
		const child = spawn(process.execPath, command, {
			env: {PATH: process.env.PATH, HOME: process.env.HOME, CAMPHORTACK_NODE_FILE: machine.settingsPath},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		child.stdout.pipe(machine.log, {end: false});
		child.stderr.pipe(machine.log, {end: false});
		machine.child = child;
		record.write('process-started', {machine: machine.name, host: machine.host});
		child.once('exit', (code, signal) => {
			record.write('process-ended', {machine: machine.name, code, signal});
			machine.child = undefined;
			if (!isEnding) {
				setTimeout(() => {
					if (!isEnding) {
						startMachine(machine, false);
					}
				}, restartDelayMs);
			}
		});
	}

	function signal(machine, name) {
		record.write('signal', {machine: machine.name, signal: name});
		machine.child?.kill(name);
	}

	/** Sends a configuration as the operator does: again until it is acknowledged, to any machine that serves control. */
	async function putConfiguration(configuration) {
		const endsAtMs = record.getNowMs() + operatorTimeoutMs;
		for (let attempt = 0; record.getNowMs() < endsAtMs; attempt++) {
			const {host, control} = keepers[attempt % keepers.length];
			// eslint-disable-next-line no-await-in-loop -- One attempt after the other.
			const {status, error} = await call({
				host, port: control, method: 'PUT', path: '/api/config', body: configuration,
			});
			record.write('operator-gets', {
				machine: host, version: configuration.version, status, error,
			});
			if (status === 200) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop -- One attempt after the other.
			await delay(operatorIntervalMs);
		}

		throw new Error('the configuration was not acknowledged');
	}

	/** Asks as the platform does: `GET /api/ready`, until each entry machine is ready. */
	async function waitUntilReady() {
		const endsAtMs = record.getNowMs() + readyTimeoutMs;
		const missing = new Set(machines.filter(({role}) => role === 'entry'));
		while (missing.size > 0) {
			if (record.getNowMs() > endsAtMs) {
				throw new Error(`not ready: ${[...missing].map(({name}) => name).join(' ')}`);
			}

			for (const machine of missing) {
				// eslint-disable-next-line no-await-in-loop -- A few machines, one after the other.
				const {status} = await call({
					host: machine.host, port: machine.readiness, method: 'GET', path: '/api/ready',
				});
				if (status === 200) {
					missing.delete(machine);
				}
			}

			// eslint-disable-next-line no-await-in-loop -- The next round.
			await delay(100);
		}

		record.write('all-ready');
	}

	return {
		folder,
		prefix,
		keepers,
		machines,
		setCutZone,
		getCutZone: () => cutZone,
		entries: machines.filter(({role}) => role === 'entry'),
		start() {
			for (const machine of machines) {
				startMachine(machine, true);
			}
		},
		signal,
		putConfiguration,
		waitUntilReady,
		/** Ends all processes, also stopped ones. */
		async end({keepFolder = false} = {}) {
			isEnding = true;
			for (const proxy of proxies) {
				proxy.stop();
			}

			await Promise.all(machines.map(async machine => {
				if (machine.child !== undefined) {
					const exited = new Promise(resolve => {
						machine.child.once('exit', resolve);
					});
					machine.child.kill('SIGKILL');
					await exited;
				}
			}));
			if (!keepFolder) {
				rmSync(folder, {recursive: true, force: true});
			}
		},
	};
}

function randomOctet() {
	return 1 + Math.floor(Math.random() * 250);
}

async function findFreePorts(host) {
	const servers = [];
	for (let number = 0; number < portCount; number++) {
		const server = createServer();
		// eslint-disable-next-line no-await-in-loop -- A few ports, one after the other.
		await new Promise((resolve, reject) => {
			server.once('error', reject);
			server.listen(0, host, resolve);
		});
		servers.push(server);
	}

	const [front, readiness, control, metrics, peers] = servers.map(server => server.address().port);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return {
		front, readiness, control, metrics, peers,
	};
}
