import type {Container} from 'inversify';
import {createJobService} from '../jobs/job-service.js';
import {tokens} from './tokens.js';

/**
 * Binds the job service.
 * @param container - The container; all other components must be bound.
 */
export function bindJobs(container: Container): void {
	container.bind(tokens.jobs).toDynamicValue(context => createJobService({
		timers: context.get(tokens.timers),
		metrics: context.get(tokens.metrics),
		dispatcher: context.get(tokens.dispatcher),
		register: context.get(tokens.registerClient),
		tickets: context.get(tokens.tickets),
		hasConfiguration: () => container.get(tokens.configurationService).findConfiguration() !== undefined,
	}));
}
