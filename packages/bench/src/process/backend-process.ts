import process from 'node:process';
import {createStandInBackendServer} from '@camphortack/testkit';

const [announceUrl, serverCount, slots] = process.argv.slice(2);
const servers = await Promise.all(Array.from({length: Number(serverCount)}, async (_, index) => createStandInBackendServer({
	id: `backend-${index}`,
	services: ['quote'],
	slots: Number(slots),
	availabilityZone: 'zone-1',
	announceUrl,
})));
await Promise.all(servers.map(async server => server.announce()));
process.stdout.write(`${JSON.stringify(servers.map(server => server.announcement.port))}\n`);
process.once('SIGTERM', () => {
	void Promise.all(servers.map(async server => server.close()));
});
