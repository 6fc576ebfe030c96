import type {Usage} from 'clipanion';
import {evacuationResponseSchema} from '../api/api-schemas.js';
import type {ApiRequest, ApiResponse} from '../api/api-client.js';
import {createRefusalError, isSuccess, parseResponseOrThrow} from '../api/get-response.js';
import {CommandError} from '../errors/command-error.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {OperatorsCommand} from './operators-command.js';
import {createBooleanOption, createStringOption} from './options.js';

export class EvacuateCommand extends OperatorsCommand {
	static override paths = [['evacuate']];

	static override usage: Usage = {
		category: 'Operation',
		description: 'Evacuate an availability zone: start no more tasks on its backend servers.',
		details: `
			Any daemon takes the order. Once a majority of the keepers has stored it, no task starts in the availability zone from 5 s later on, until
			the evacuation is ended. Running tasks end by themselves; waiting ones go to other availability zones.

			If the outcome is unknown, the exit code is 6. Repeating the command is safe.
		`,
		examples: [
			['Evacuate an availability zone', '$0 evacuate leoben --operators-url http://10.1.0.11:7002'],
			['Use it again', '$0 evacuate --end leoben'],
		],
	};

	availabilityZone = createStringOption({name: 'zone'});
	isEnd = createBooleanOption('--end', false, {description: 'End the evacuation.'});

	protected override async run(): Promise<ExitCode> {
		const request: ApiRequest = {
			method: this.isEnd ? 'DELETE' : 'POST',
			path: `/v1/evacuations/${encodeURIComponent(this.availabilityZone)}`,
		};
		const response = await this.getApiOrThrow().send(request);
		if (!isSuccess(response)) {
			throw createOrderError(response);
		}

		const result = parseResponseOrThrow(response, evacuationResponseSchema, request);
		const state = result.isEvacuated ? 'is evacuated: no task starts there from 5 s on' : 'is not evacuated';
		this.print(result, `availability zone ${result.availabilityZone} ${state} (revision ${result.revision})`);
		return exitCodes.ok;
	}
}

/** An order that no majority has stored in time may still take effect, unlike one that was refused. */
function createOrderError(response: ApiResponse): CommandError {
	const error = createRefusalError(response);
	if (error.code !== 'unknown') {
		return error;
	}

	const message = 'no majority of the keepers has stored the order in time; it may still take effect; run the command again, with any daemon';
	return new CommandError(error.code, message, exitCodes.unknown, error.details);
}
