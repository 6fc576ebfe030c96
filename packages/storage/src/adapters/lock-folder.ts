import {readFile, stat, writeFile} from 'node:fs/promises';
import {createServer, type Server} from 'node:net';
import {join} from 'node:path';
import process from 'node:process';
import {StorageError} from '../errors/storage-error.js';
import type {FolderLock} from '../ports/file-system.js';

const lockFileName = 'lock';

/**
 * Locks a folder by listening on an abstract Unix socket named after the folder's device and inode.
 * The kernel closes the socket when the process ends, however that happens, so a lock can neither become stale nor be
 * taken over by mistake. The lock file only tells an operator which process holds the lock.
 * @param path - The path of the folder.
 * @throws StorageError with code `data-folder-locked` if another process has locked it.
 */
export async function lockFolder(path: string): Promise<FolderLock> {
	const {dev, ino} = await stat(path);
	const server = createServer(socket => {
		socket.destroy();
	});
	const lockPath = join(path, lockFileName);
	try {
		await listen(server, `\0camphortack-${dev}-${ino}`);
	} catch (error) {
		const holder = await readHolder(lockPath);
		throw new StorageError(
			'data-folder-locked',
			lockPath,
			`the data folder is in use (${holder}); stop that process or specify another data folder`,
			{cause: error},
		);
	}

	server.unref();
	await writeFile(lockPath, `pid ${process.pid} start ${await getProcessStartTicks()}\n`);
	return {
		async release() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
}

async function listen(server: Server, address: string): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(address, () => {
			server.off('error', reject);
			resolve();
		});
	});
}

async function readHolder(lockPath: string): Promise<string> {
	try {
		const text = await readFile(lockPath, 'utf8');
		return text.trim();
	} catch {
		return 'the process is not recorded yet';
	}
}

/** Gets the start time of this process in clock ticks since boot, which distinguishes it from a later process with the same pid. */
async function getProcessStartTicks(): Promise<string> {
	const startTimeField = 19;
	try {
		const text = await readFile('/proc/self/stat', 'utf8');
		return text.slice(text.lastIndexOf(')') + 2).split(' ')[startTimeField] ?? 'unknown';
	} catch {
		return 'unknown';
	}
}
