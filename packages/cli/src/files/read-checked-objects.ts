import {checkConfigurationFiles, hasErrors, type ConfigurationObjects} from '@camphortack/configuration';
import {CommandError} from '../errors/command-error.js';
import {exitCodes} from '../exit-codes.js';
import {formatFindings} from '../formatting/format-findings.js';
import {readConfigurationFolderOrThrow} from './read-files.js';

/**
 * Reads the objects of a folder and checks them.
 * @param location - The folder, or one file.
 * @throws CommandError with all findings if there is an error among them.
 */
export async function readCheckedObjectsOrThrow(location: string): Promise<ConfigurationObjects> {
	const {objects, findings} = checkConfigurationFiles(await readConfigurationFolderOrThrow(location));
	if (hasErrors(findings)) {
		throw new CommandError('findings', `the objects in "${location}" have errors:\n${formatFindings(findings)}`, exitCodes.failed, {findings});
	}

	return objects;
}
