import {describe, it} from 'node:test';
import {openCrowd, type CrowdOptions} from '@camphortack/testkit';
import {startCrowdDaemon, type CrowdDaemon, type VmLimits} from './support/crowd-daemon.js';

type CrowdPlan = Omit<CrowdOptions, 'address'> & {
	getUrl: (daemon: CrowdDaemon) => string;
	limits?: VmLimits;
};

const smallVm: VmLimits = {memoryMegabytes: 288, maxFileDescriptors: 4100, maxHeapMegabytes: 128};
const fewFileDescriptors: VmLimits = {...smallVm, maxFileDescriptors: 400};
/** A little less than the largest body that the daemon accepts. */
const almostMaxBodyBytes = 8_388_000;
const almostMaxAnnouncementBytes = 262_000;
const singleByteChunkCount = 258_048;

function getHead(path: string, framing: string): string {
	return ['POST', ' ', path, ' HTTP/1.1\r\nhost: one.example\r\ncontent-type: application/json\r\n', framing, '\r\n\r\n'].join('');
}

async function checkCrowd({getUrl, limits = smallVm, ...crowdOptions}: CrowdPlan): Promise<void> {
	const daemon = await startCrowdDaemon(limits);
	try {
		const {hostname, port} = new URL(getUrl(daemon));
		const crowd = openCrowd({...crowdOptions, address: {host: hostname, port: Number(port)}});
		try {
			await crowd.waitUntilSettled();
			daemon.check();
			await daemon.checkOrdinaryJob();
			daemon.check();
		} finally {
			await crowd.leave();
		}

		await daemon.checkOrdinaryJob();
		daemon.check();
	} finally {
		await daemon.close();
	}
}

// Guards against a process that keeps every byte, or an object for every chunk, of bodies that never end, until its memory is used up.
describe('a daemon with its own interfaces, to which bodies are sent that never end', () => {
	it('stays within its memory when jobs state their length', async () => {
		const body = 'a'.repeat(almostMaxBodyBytes);
		await checkCrowd({
			getUrl: ({addresses}) => addresses.callersUrl,
			count: 60,
			getPieces: () => [getHead('/v1/jobs', `content-length: ${almostMaxBodyBytes + 1}`), body],
		});
	});

	it('stays within its memory when each chunk of a job has one byte', async () => {
		const chunks = '1\r\na\r\n'.repeat(singleByteChunkCount);
		await checkCrowd({
			getUrl: ({addresses}) => addresses.callersUrl,
			count: 40,
			getPieces: () => [getHead('/v1/jobs', 'transfer-encoding: chunked'), chunks],
		});
	});

	it('stays within its memory when configurations state their length', async () => {
		const body = 'a'.repeat(almostMaxBodyBytes);
		await checkCrowd({
			getUrl: ({addresses}) => addresses.operatorsUrl,
			count: 60,
			getPieces: () => [getHead('/v1/configuration', `content-length: ${almostMaxBodyBytes + 1}`), body],
		});
	});

	it('stays within its memory when announcements state their length', async () => {
		const body = 'a'.repeat(almostMaxAnnouncementBytes);
		await checkCrowd({
			getUrl: ({addresses}) => addresses.backendServersUrl,
			count: 1500,
			getPieces: () => [getHead('/v1/backend-servers', `content-length: ${almostMaxAnnouncementBytes + 1}`), body],
		});
	});
});

// Guards against connections that use up the descriptors of a process.
describe('a daemon with its own interfaces, to which connections are opened that send nothing', () => {
	it('keeps within its descriptors at its address for jobs', async () => {
		await checkCrowd({
			getUrl: ({addresses}) => addresses.callersUrl, limits: fewFileDescriptors, count: 600, getPieces: () => [],
		});
	});

	it('keeps within its descriptors at its address for operators', async () => {
		await checkCrowd({
			getUrl: ({addresses}) => addresses.operatorsUrl, limits: fewFileDescriptors, count: 600, getPieces: () => [],
		});
	});
});
