import type {EventName} from '../events/event-catalogue.js';

/** The values that belong to an event. Never a payload or a secret. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Where numbered events go. */
export abstract class EventLog {
	/**
	 * Writes one event.
	 * @param name - A name of the event catalogue.
	 * @param fields - The values that belong to it.
	 */
	abstract write(name: EventName, fields?: EventFields): void;
}
