import process from 'node:process';
import {z} from 'zod';
import {startBenchProcess} from './child-process.js';
import {measureClients} from './measure-clients.js';
import {measureDaemon, parseAddresses, publishBenchObjects} from './measure-daemon.js';

const backendServerCount = 8;
const slotsPerBackendServer = 64;

const daemon = await startBenchProcess('../../../daemon/dist/main.js', []);
const addresses = parseAddresses(daemon.firstLine);
await publishBenchObjects(addresses);
const backends = await startBenchProcess('./backend-process.js', [
	addresses.backendServersUrl, String(backendServerCount), String(slotsPerBackendServer),
]);
const [backendPort] = z.array(z.number()).parse(backends.firstLine);
if (backendPort === undefined) {
	throw new Error('no stand-in backend server started');
}

for (const cost of await measureClients(backendPort)) {
	process.stdout.write(`${JSON.stringify(cost)}\n`);
}

process.stdout.write(`${JSON.stringify(await measureDaemon(addresses, backendPort))}\n`);
await daemon.stop();
await backends.stop();
