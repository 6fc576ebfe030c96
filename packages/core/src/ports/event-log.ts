import type {EventName} from '../events/event-catalogue.js';

/** The fields of an event. They never contain a payload or a secret. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes numbered events to the log of the daemon. */
export abstract class EventLog {
	/**
	 * Writes one event.
	 * @param name - A name from the event catalogue.
	 * @param fields - The fields of the event.
	 */
	abstract write(name: EventName, fields?: EventFields): void;
}
