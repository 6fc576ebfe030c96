import {readdir, readFile, stat} from 'node:fs/promises';
import path from 'node:path';
import {text} from 'node:stream/consumers';
import type {Readable} from 'node:stream';
import type {ConfigurationFile} from '@camphortack/configuration';
import {CommandError} from '../errors/command-error.js';
import {exitCodes} from '../exit-codes.js';

/**
 * Reads a file, or all `.ini` files of a folder, sorted by name.
 * @param location - The path of the file or folder.
 * @throws CommandError if it cannot be read or the folder contains no `.ini` files.
 */
export async function readConfigurationFolderOrThrow(location: string): Promise<ConfigurationFile[]> {
	try {
		const paths = await getPaths(location);
		return await Promise.all(paths.map(async filePath => ({path: filePath, text: await readFile(filePath, 'utf8')})));
	} catch (error) {
		throw createReadError(location, error);
	}
}

/**
 * Reads a file, or standard input for `-`.
 * @param location - The path of the file, or `-`.
 * @param stdin - The standard input.
 * @throws CommandError if it cannot be read.
 */
export async function readInputOrThrow(location: string, stdin: Readable): Promise<string> {
	if (location === '-') {
		return text(stdin);
	}

	try {
		return await readFile(location, 'utf8');
	} catch (error) {
		throw createReadError(location, error);
	}
}

async function getPaths(location: string): Promise<string[]> {
	const details = await stat(location);
	if (!details.isDirectory()) {
		return [location];
	}

	const names = await readdir(location);
	const paths = names.filter(name => name.endsWith('.ini')).toSorted().map(name => path.join(location, name));
	if (paths.length === 0) {
		throw new Error('the folder contains no .ini files');
	}

	return paths;
}

function createReadError(location: string, error: unknown): CommandError {
	const reason = error instanceof Error ? error.message : String(error);
	return new CommandError('unreadable', `"${location}" cannot be read: ${reason}`, exitCodes.failed);
}
