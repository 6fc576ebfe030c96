import {createApiClient, type ApiClient} from '../api/api-client.js';
import {CommandError} from '../errors/command-error.js';
import {exitCodes} from '../exit-codes.js';
import {BaseCommand} from './base-command.js';
import {createStringOption} from './options.js';

/** A command that sends requests to a daemon's port for callers. */
export abstract class CallersCommand extends BaseCommand {
	callersUrl = createStringOption('--callers-url', {
		env: 'CAMPHORTACK_CALLERS_URL',
		description: 'The address of a daemon\'s port for callers, such as http://10.1.0.11:7000.',
	});

	protected getApiOrThrow(): ApiClient {
		if (this.callersUrl === undefined) {
			throw new CommandError('no-address', 'no daemon is specified; use --callers-url or set CAMPHORTACK_CALLERS_URL', exitCodes.usage);
		}

		return createApiClient({baseUrl: this.callersUrl, token: this.context.env.CAMPHORTACK_TOKEN});
	}
}
