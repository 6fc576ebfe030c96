import {spawn} from 'node:child_process';
import {
	appendFileSync, mkdirSync, mkdtempSync, openSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {call, pause} from './call.js';
import {startPeerProxy} from './peer-proxy.js';

const repository = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
/** The command of both roles of the deploy file. */
const command = ['--max-old-space-size=200', 'target/camphortackd.mjs'];
const portNames = ['front', 'readiness', 'control', 'peers', 'metrics'];

/** Finds free ports: all daemons use the same ones, each on its own loopback address. */
async function findPorts() {
	const servers = await Promise.all(portNames.map(async () => new Promise((resolve, reject) => {
		const server = createServer();
		server.once('error', reject);
		server.listen(0, '127.0.0.1', () => {
			resolve(server);
		});
	})));
	const ports = Object.fromEntries(portNames.map((name, position) => [name, servers[position].address().port]));
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}

/** Gets the address at which a daemon behind a proxy listens for its peers itself. */
function getProxiedIp(ip) {
	const parts = ip.split('.');
	return [...parts.slice(0, 3), Number(parts[3]) + 100].join('.');
}

function getMachines(zones, {entriesPerZone, keepersPerZone, hasProxies}) {
	const block = 16 + Math.floor(Math.random() * 200);
	return zones.flatMap((zone, position) => ['core', 'edge'].flatMap(machineClass => {
		const isKeeper = machineClass === 'core';
		return Array.from({length: isKeeper ? keepersPerZone : entriesPerZone}, (_, number) => {
			const ip = `127.${block}.${position + 1}.${(isKeeper ? 10 : 40) + number}`;
			return {
				name: `${machineClass}-${zone}-${number + 1}`, machineClass, zone, isKeeper, ip, listenIp: hasProxies ? getProxiedIp(ip) : ip,
			};
		});
	}));
}

/** However a case ends, its processes end with it; one that fails by itself could not run. */
function endProcessesAtExit(daemons) {
	const fail = error => {
		console.error(error);
		process.exit(2); // eslint-disable-line unicorn/no-process-exit -- This is a program.
	};

	process.once('uncaughtException', fail);
	process.once('unhandledRejection', fail);
	for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
		process.once(signal, () => {
			fail(new Error(`ended by ${signal}`));
		});
	}

	process.once('exit', () => {
		for (const child of daemons.values()) {
			child.kill('SIGKILL');
		}
	});
}

/** The small deployment of a case: zones with keepers (class core) and entry daemons (class edge), on loopback. */
export async function createDeployment({zones, entriesPerZone, keepersPerZone, hasProxies, bounds, log}) {
	const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	const ports = await findPorts();
	const daemons = new Map();
	endProcessesAtExit(daemons);
	const machines = getMachines(zones, {entriesPerZone, keepersPerZone, hasProxies});
	const proxies = [];
	const keepers = machines.filter(({isKeeper}) => isKeeper);
	const seeds = keepers.slice(0, 3).map(({ip}) => `${ip}:${ports.control}`).join(',');

	function getSettings({name, machineClass, zone, isKeeper, ip, listenIp}, isFirstStart) {
		return [
			`nodeName=${name}`,
			`role=${isKeeper ? 'keeper' : 'entry'}`,
			`machineClass=${machineClass}`,
			`serves=${isKeeper ? 'control_plane' : 'edge'}`,
			`ip=${ip}`,
			`zone=${zone}`,
			'region=home',
			...zones.map(other => `zones.${other}=home`),
			...(isKeeper
				? [`bindAddrs.control=${ip}:${ports.control}`, `dataDir=${path.join(folder, name)}`]
				: [`bindAddrs.front=${ip}:${ports.front}`, `bindAddrs.readiness=${ip}:${ports.readiness}`]),
			`portRange=${ports.peers},${ports.peers}`,
			`seeds=${seeds}`,
			`bootstrap=${isFirstStart}`,
			`lossCounts=${isKeeper}`,
			'limits.cpuShare=0.675',
			'limits.cores=1',
			'limits.memoryMb=350',
			'discovery=registration',
			'entry=vip',
			'heartbeatMs=1500',
			'faultTolerance.machines=1',
			'faultTolerance.zones=1',
			'faultTolerance.regions=0',
			...Object.entries(bounds).map(([bound, value]) => `bounds.${bound}=${value}`),
			'config_mode=highest',
			'orders=invocation',
			`camphortack.metricsPort=${ports.metrics}`,
			`camphortack.listenHost=${listenIp}`,
			'',
		].join('\n');
	}

	function start(machine, isFirstStart) {
		const settingsPath = path.join(folder, `${machine.name}.conf`);
		if (machine.isKeeper) {
			mkdirSync(path.join(folder, machine.name), {recursive: true});
		}

		writeFileSync(settingsPath, getSettings(machine, isFirstStart));
		const output = openSync(path.join(folder, `${machine.name}.log`), 'a');
		const {PATH, HOME, LANG} = process.env;
		const child = spawn(process.execPath, command, {
			cwd: repository,
			env: Object.fromEntries(Object.entries({
				PATH, HOME, LANG, CAMPHORTACK_NODE_FILE: settingsPath,
			}).filter(([, value]) => value !== undefined)),
			stdio: ['ignore', output, output],
		});
		child.once('exit', (code, signal) => {
			log('process-ended', {machine: machine.name, code, signal});
			if (daemons.get(machine.name) === child) {
				daemons.delete(machine.name);
			}
		});
		daemons.set(machine.name, child);
		log('process-started', {machine: machine.name});
	}

	return {
		ports,
		machines,
		keepers,
		entries: machines.filter(({isKeeper}) => !isKeeper),
		proxies,
		async startAll() {
			for (const {ip, listenIp} of hasProxies ? machines : []) {
				// eslint-disable-next-line no-await-in-loop -- One after the other.
				proxies.push(await startPeerProxy({host: ip, port: ports.peers, targetHost: listenIp}));
			}

			for (const machine of machines) {
				start(machine, true);
			}
		},
		/** Adds a machine with the roles of another one, at a new address and with an empty disk. */
		addReplacement(name) {
			const replaced = machines.find(machine => machine.name === name);
			const ip = replaced.ip.replace(/\d+$/v, last => String(Number(last) + 5));
			const machine = {
				...replaced, name: `${name}-new`, ip, listenIp: ip,
			};
			machines.push(machine);
			keepers.push(machine);
			return machine.name;
		},
		/** Starts one machine, or starts it again: `bootstrap` is true only in the first start of all. */
		start(name, isFirstStart) {
			start(machines.find(machine => machine.name === name), isFirstStart);
		},
		signal(name, signalName) {
			log('signal', {machine: name, signal: signalName});
			daemons.get(name)?.kill(signalName);
		},
		isRunning: name => daemons.has(name),
		/** Calls the keepers one after the other until one answers with a status below 500. */
		async callControl(method, target, body, {first = 0, maxAttempts = 60} = {}) {
			let reply = {status: 0};
			for (let attempt = 0; attempt < maxAttempts; attempt++) {
				const {ip} = keepers[(first + attempt) % keepers.length];
				// eslint-disable-next-line no-await-in-loop -- The next keeper is tried after a failure.
				reply = await call({
					host: ip, port: ports.control, method, path: target, body, timeoutMs: 1000,
				});
				if (reply.status > 0 && reply.status < 500) {
					return reply;
				}

				// eslint-disable-next-line no-await-in-loop -- Back-off.
				await pause(Math.min(500, 50 * (attempt + 1)));
			}

			return reply;
		},
		async stopAll() {
			for (const child of daemons.values()) {
				child.kill('SIGCONT');
				child.kill('SIGKILL');
			}

			for (const proxy of proxies) {
				proxy.close();
			}

			await pause(200);
			if (process.env.KEEP_LOGS === undefined) {
				rmSync(folder, {recursive: true, force: true});
			} else {
				console.log(`logs in ${folder}`);
			}
		},
	};
}

/** Writes what was sent, answered and run, one line each, with the milliseconds since the start of the case. */
export function createRecord(file) {
	const startedAtMs = performance.now();
	writeFileSync(file, '');
	const getNowMs = () => performance.now() - startedAtMs;
	return {
		getNowMs,
		log(what, fields = {}) {
			appendFileSync(file, `${getNowMs().toFixed(0).padStart(7)} ${what} ${JSON.stringify(fields)}\n`);
		},
	};
}
