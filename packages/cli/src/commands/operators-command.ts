import {createApiClient, type ApiClient} from '../api/api-client.js';
import {CommandError} from '../errors/command-error.js';
import {exitCodes} from '../exit-codes.js';
import {BaseCommand} from './base-command.js';
import {createStringOption} from './options.js';

/** A command that sends requests to a daemon's port for operators. */
export abstract class OperatorsCommand extends BaseCommand {
	operatorsUrl = createStringOption('--operators-url', {
		env: 'CAMPHORTACK_OPERATORS_URL',
		description: 'The address of a daemon\'s port for operators, such as http://10.1.0.11:7002.',
	});

	protected getApiOrThrow(): ApiClient {
		if (this.operatorsUrl === undefined) {
			throw new CommandError('no-address', 'no daemon is specified; use --operators-url or set CAMPHORTACK_OPERATORS_URL', exitCodes.usage);
		}

		return createApiClient({baseUrl: this.operatorsUrl, token: this.context.env.CAMPHORTACK_TOKEN});
	}
}
