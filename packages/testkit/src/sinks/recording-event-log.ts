import {EventLog, type EventFields, type EventName} from '@camphortack/core';

/** An event log that records events in memory. */
export class RecordingEventLog extends EventLog {
	readonly events: Array<{name: EventName; fields: EventFields}> = [];

	override write(name: EventName, fields: EventFields = {}): void {
		this.events.push({name, fields});
	}
}
