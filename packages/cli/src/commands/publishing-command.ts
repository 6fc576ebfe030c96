import {formatObjectDifferences, getObjectDifferences, type ConfigurationObjects} from '@camphortack/configuration';
import type {ConfigurationResponse} from '../api/api-schemas.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {getConfigurationOrThrow, parseVersionOrThrow} from '../publishing/get-configuration.js';
import {publishObjectsOrThrow} from '../publishing/publish-objects.js';
import {OperatorsCommand} from './operators-command.js';
import {createStringOption} from './options.js';

/** A command that publishes a new version. */
export abstract class PublishingCommand extends OperatorsCommand {
	author = createStringOption('--author', {env: 'USER', description: 'The author of the version, shown in the history.'});
	base = createStringOption('--base', {description: 'The version that the change is based on; defaults to the version in force.'});
	publishId = createStringOption('--publish-id', {description: 'The publish id of an earlier attempt whose outcome is unknown.'});

	/**
	 * Publishes objects as a new version.
	 * @param base - The version that the change is based on.
	 * @param objects - The objects of the new version.
	 */
	protected async publish(base: ConfigurationResponse, objects: ConfigurationObjects): Promise<ExitCode> {
		const differences = getObjectDifferences(base.objects, objects);
		if (differences.length === 0 && this.publishId === undefined) {
			this.print({version: base.version, differences}, `nothing to publish: version ${base.version} has the same objects`);
			return exitCodes.ok;
		}

		this.printProgress(`publishing on top of version ${base.version}:\n${formatObjectDifferences(differences)}`);
		const publishId = this.publishId ?? this.context.random.getIdentifier();
		const version = await publishObjectsOrThrow(this.getApiOrThrow(), {
			baseVersion: base.version,
			baseObjects: base.objects,
			publishId,
			author: this.author ?? 'unknown',
			objects,
		}, this.context.wait);
		this.print({version, publishId, differences}, `published version ${version}`);
		return exitCodes.ok;
	}

	/** Gets the version given by `--base`, or the version in force. */
	protected async getBaseOrThrow(): Promise<ConfigurationResponse> {
		const version = this.base === undefined ? undefined : parseVersionOrThrow(this.base);
		return getConfigurationOrThrow(this.getApiOrThrow(), version);
	}
}
