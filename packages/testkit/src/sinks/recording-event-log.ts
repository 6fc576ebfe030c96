import {EventLog, type EventFields, type EventName} from '@camphortack/core';

/** Keeps events in memory, for tests. */
export class RecordingEventLog extends EventLog {
	readonly events: Array<{name: EventName; fields: EventFields}> = [];

	override write(name: EventName, fields: EventFields = {}): void {
		this.events.push({name, fields});
	}
}
