import createDebug from 'debug';
import {
	EventLog, getEventDescription, type EventFields, type EventName,
} from '@camphortack/core';

const loggers = {
	info: createDebug('camphortack:info'),
	warning: createDebug('camphortack:warning'),
	error: createDebug('camphortack:error'),
};

/** Writes each event as one line with its number, name and fields. */
export class DebugEventLog extends EventLog {
	override write(name: EventName, fields: EventFields = {}): void {
		const {number, level} = getEventDescription(name);
		const values = Object.entries(fields)
			.filter(([, value]) => value !== undefined)
			.map(([key, value]) => `${key}=${JSON.stringify(value)}`);
		loggers[level](['E' + String(number), name, ...values].join(' '));
	}
}
