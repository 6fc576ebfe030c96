// A small deployment of the project's own program: one process for each daemon, each on a loopback address of its own.
import {spawn} from 'node:child_process';
import {
	createWriteStream, mkdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {callJson} from './call.js';
import {startPeerProxy} from './peer-proxy.js';

const portCount = 5;
const restartDelayMs = 300;
const forcedEndMs = 3000;
/** The values of a small site, as the users' pages give them for a settings file. */
const commonSettings = [
	'region=north',
	'bootstrap=true',
	'lossCounts=true',
	'limits.cores=1',
	'limits.memoryMb=350',
	'limits.maxFds=4100',
	'limits.bandwidthMbps=1000.0',
	'discovery=registration',
	'entry=vip',
	'heartbeatMs=1500',
	'contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing',
	'faultTolerance.machines=1',
	'faultTolerance.zones=1',
	'faultTolerance.regions=0',
	'bounds.seedLagS=3',
	'bounds.stabilityWindowMs=3000',
	'bounds.ackMs=4000',
	'bounds.catchUpS=4',
	'bounds.drainMs=2000',
	'bounds.graceS=6',
	'bounds.lossSlackMs=200',
	'bounds.configApplyMs=2000',
	'bounds.maxHoldMs=1000',
	'bounds.stopMs=50',
	'bounds.cancel_ms=3000',
	'bounds.visible_ms=3000',
	'bounds.remoteFactor=1.5',
	'bounds.retransmitMs=1300',
	'config_mode=highest',
	'orders=invocation',
];

/**
 * Starts the daemons of some zones.
 * @param {object} options - The zones with the numbers of their daemons, the folder for settings, logs and data, the record, and whether the links between daemons can be cut.
 */
export async function startDeployment({zones, folder, record, canCut = false}) {
	const [peers, callers, readiness, control, metrics] = await findPorts();
	const places = zones.flatMap(({name, edgeCount, coreCount = 1}, position) => [
		...createPlaces(name, 'core', coreCount, `127.${40 + position}.1`),
		...createPlaces(name, 'edge', edgeCount, `127.${40 + position}.2`),
	]);
	const cores = places.filter(({type}) => type === 'core');
	const edges = places.filter(({type}) => type === 'edge');
	const seeds = cores.slice(0, 3).map(({ip}) => `${ip}:${control}`).join(',');
	const running = new Map();
	/** All processes that have not ended. */
	const children = new Set();
	mkdirSync(folder, {recursive: true});

	function getOwnSettings({name, type, ip}) {
		if (type === 'edge') {
			return ['role=entry', 'serves=edge', `bindAddrs.front=${ip}:${callers}`, `bindAddrs.readiness=${ip}:${readiness}`, 'limits.cpuShare=0.675', 'limits.diskMb=0'];
		}

		return ['role=keeper', 'serves=control_plane', `bindAddrs.control=${ip}:${control}`, `dataDir=${path.join(folder, `${name}-data`)}`, 'limits.cpuShare=1.35', 'limits.diskMb=128'];
	}

	function writeSettings(place) {
		const {name, type, zone, ip} = place;
		const file = path.join(folder, `${name}.conf`);
		writeFileSync(file, [
			`nodeName=${name}`,
			`machineClass=${type}`,
			`ip=${ip}`,
			`zone=${zone}`,
			...zones.map(other => `zones.${other.name}=north`),
			`portRange=${peers},${peers + 1}`,
			`seeds=${seeds}`,
			`camphortack.metricsPort=${metrics}`,
			`camphortack.listenHost=${canCut ? getListenHost(ip) : ip}`,
			...commonSettings,
			...getOwnSettings(place),
			'',
		].join('\n'));
		return file;
	}

	function start(name) {
		const place = places.find(other => other.name === name);
		const log = createWriteStream(path.join(folder, `${name}.log`), {flags: 'a'});
		// The command of the deploy file, in the root of the repository.
		const child = spawn('node', ['--max-old-space-size=200', 'target/camphortackd.mjs'], {
			env: {PATH: process.env.PATH, HOME: process.env.HOME, CAMPHORTACK_NODE_FILE: writeSettings(place)},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		child.stdout.pipe(log);
		child.stderr.pipe(log);
		child.once('error', error => {
			record.add('daemon-error', {name, message: error.message});
		});
		child.once('exit', (code, signal) => {
			// The next process of the same name may have been started already.
			if (running.get(name) === child) {
				running.delete(name);
			}

			children.delete(child);
			record.add('daemon-exit', {name, code, signal});
		});
		running.set(name, child);
		children.add(child);
		record.add('daemon-start', {name, ip: place.ip, zone: place.zone});
	}

	let cutLinks = new Set();
	const isCut = (from, to) => cutLinks.has(`${from} ${to}`) || cutLinks.has(`${to} ${from}`);
	const proxies = await Promise.all(places.filter(() => canCut).map(async ({ip}) => startPeerProxy({
		host: ip, port: peers, targetHost: getListenHost(ip), isCut,
	})));
	for (const {name} of places) {
		start(name);
	}

	return {
		cores,
		edges,
		ports: {callers, readiness, control},
		findPlace: name => places.find(place => place.name === name),
		/** Finds the core machine that places, by the newest line about it in the logs. */
		findPlacer() {
			const lines = cores.flatMap(({name}) => readFileSync(path.join(folder, `${name}.log`), 'utf8').split('\n'));
			const events = lines.filter(line => line.includes('"event":"placer-followed"')).map(line => JSON.parse(line));
			const {placer} = events.filter(event => event.placer !== '').toSorted((left, right) => left.term - right.term).at(-1);
			return cores.find(({ip}) => ip === placer);
		},
		/** Sends a signal to a daemon, as the platform does. */
		signal(name, signal) {
			record.add('signal', {name, signal});
			running.get(name)?.kill(signal);
		},
		/** Cuts the links between a daemon and some others, and joins all other links. */
		setCut(name, otherNames) {
			record.add('cut', {name, otherNames});
			const findIp = wanted => places.find(place => place.name === wanted).ip;
			cutLinks = new Set(otherNames.map(other => `${findIp(name)} ${findIp(other)}`));
			for (const proxy of proxies) {
				proxy.update();
			}
		},
		start,
		/** Kills a daemon and starts it again, as the platform does with a process that ended. */
		async restart(name) {
			running.get(name)?.kill('SIGKILL');
			await pause(restartDelayMs);
			start(name);
		},
		/** Publishes a configuration, at one core machine after the other until one acknowledges it. */
		async publish(body) {
			for (let attempt = 0; attempt < 60; attempt++) {
				const {ip} = cores[attempt % cores.length];
				const request = createRequest(ip, control, 'PUT', '/api/config');
				// eslint-disable-next-line no-await-in-loop -- The operator makes one attempt at a time.
				const {status} = await callJson({...request, body});
				if (status === 200) {
					record.add('config-acknowledged', {version: body.version, by: ip});
					return;
				}

				// eslint-disable-next-line no-await-in-loop -- See above.
				await pause(250);
			}

			throw new Error('no configuration was acknowledged');
		},
		/** Asks an edge machine whether it is ready, as the platform does, and returns the status. */
		async getReadiness(ip) {
			const {status} = await callJson(createRequest(ip, readiness, 'GET', '/api/ready'));
			return status;
		},
		/** Waits until all edge machines are ready. */
		async waitUntilReady() {
			for (const {ip} of edges) {
				let status = 0;
				for (let attempt = 0; attempt < 100 && status !== 200; attempt++) {
					// eslint-disable-next-line no-await-in-loop -- The platform asks once in a while.
					status = await this.getReadiness(ip);
					// eslint-disable-next-line no-await-in-loop -- See above.
					await pause(100);
				}

				if (status !== 200) {
					throw new Error(`${ip} is not ready`);
				}
			}
		},
		/** Ends all daemons and waits until they are gone. */
		async stop() {
			const ends = [...children].map(async child => new Promise(resolve => {
				child.once('exit', resolve);
				child.kill('SIGCONT');
				child.kill('SIGKILL');
			}));
			await Promise.race([Promise.all(ends), pause(forcedEndMs)]);
			for (const proxy of proxies) {
				proxy.stop();
			}
		},
	};
}

/** The address on which a daemon itself listens for its peers, if a proxy listens on that of its settings. */
function getListenHost(ip) {
	const [first, second, third, fourth] = ip.split('.');
	return `${first}.${second}.${Number(third) + 100}.${fourth}`;
}

function createRequest(host, port, method, path) {
	return {
		host, port, method, path, timeoutMs: 1000,
	};
}

function createPlaces(zone, type, count, network) {
	return Array.from({length: count}, (_, position) => ({
		name: `${type}-${zone}-${position + 1}`, zone, type, ip: `${network}.${position + 1}`,
	}));
}

/** Finds free ports. All daemons use the same ones, because each has its own address. */
async function findPorts() {
	const servers = await Promise.all(Array.from({length: portCount}, async () => new Promise((resolve, reject) => {
		const server = createServer();
		server.once('error', reject);
		server.listen(0, '127.0.0.1', () => {
			resolve(server);
		});
	})));
	const ports = servers.map(server => server.address().port);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}
