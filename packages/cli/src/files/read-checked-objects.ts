import {checkConfigurationFiles, hasErrors, type ConfigurationObjects} from '@camphortack/configuration';
import {CommandError} from '../errors/command-error.js';
import {exitCodes} from '../exit-codes.js';
import {formatFindings} from '../formatting/format-findings.js';
import {readConfigurationFolderOrThrow} from './read-files.js';

/**
 * Reads and checks the objects of a folder.
 * @param location - The path of the folder, or of a single file.
 * @throws CommandError with all findings if any of them is an error.
 */
export async function readCheckedObjectsOrThrow(location: string): Promise<ConfigurationObjects> {
	const {objects, findings} = checkConfigurationFiles(await readConfigurationFolderOrThrow(location));
	if (hasErrors(findings)) {
		throw new CommandError('findings', `the objects in "${location}" have errors:\n${formatFindings(findings)}`, exitCodes.failed, {findings});
	}

	return objects;
}
