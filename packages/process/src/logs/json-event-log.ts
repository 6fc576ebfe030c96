import {fstatSync} from 'node:fs';
import {pino, type DestinationStream} from 'pino';
import {
	EventLog, getEventDescription, type EventFields, type EventName, type MetricSink, type TimerService,
} from '@camphortack/core';
import {createPipeDestination} from './create-pipe-destination.js';

export type JsonEventLogOptions = {
	daemonId: string;
	timers: TimerService;
	metrics: MetricSink;
	/** Where lines go; standard output, if left out. */
	destination?: DestinationStream;
	/** The most lines of one event in a second. */
	maxLinesPerSecond?: number;
};

const defaultMaxLinesPerSecond = 400;
const windowMs = 1000;
const standardOutputFd = 1;
/** Lines that wait for a reader that does not read; beyond this they are dropped. */
const maxBufferedBytes = 1_048_576;

/**
 * Writes events as JSON lines to standard output, without ever waiting for the reader. Beyond a number of lines of one
 * event in a second, further ones are left out and counted in a line of their own.
 */
export class JsonEventLog extends EventLog {
	readonly #logger;
	readonly #options: JsonEventLogOptions;
	readonly #counts = new Map<EventName, number>();
	#windowStartMs = Number.NEGATIVE_INFINITY;

	constructor(options: JsonEventLogOptions) {
		super();
		this.#options = options;
		this.#logger = pino({base: {daemon: options.daemonId}, messageKey: 'event'}, options.destination ?? createStandardOutput(options.metrics));
	}

	override write(name: EventName, fields: EventFields = {}): void {
		this.#startWindowIfDue();
		const count = (this.#counts.get(name) ?? 0) + 1;
		this.#counts.set(name, count);
		if (count <= (this.#options.maxLinesPerSecond ?? defaultMaxLinesPerSecond)) {
			this.#writeLine(name, fields);
		}
	}

	#startWindowIfDue(): void {
		const nowMs = this.#options.timers.getNowMs();
		if (nowMs - this.#windowStartMs < windowMs) {
			return;
		}

		this.#windowStartMs = nowMs;
		const maxLines = this.#options.maxLinesPerSecond ?? defaultMaxLinesPerSecond;
		for (const [name, count] of this.#counts) {
			if (count > maxLines) {
				this.#options.metrics.increment('log-lines-left-out', count - maxLines);
				this.#writeLine('log-lines-left-out', {of: name, count: count - maxLines});
			}
		}

		this.#counts.clear();
	}

	#writeLine(name: EventName, fields: EventFields): void {
		const {number, level} = getEventDescription(name);
		const values = {number, upMs: Math.round(this.#options.timers.getNowMs()), ...fields};
		if (level === 'error') {
			this.#logger.error(values, name);
		} else if (level === 'warning') {
			this.#logger.warn(values, name);
		} else {
			this.#logger.info(values, name);
		}
	}
}

/** Standard output, without waiting for its reader. */
function createStandardOutput(metrics: MetricSink): DestinationStream {
	const status = fstatSync(standardOutputFd);
	if (!status.isFIFO() && !status.isSocket()) {
		return pino.destination({fd: standardOutputFd, sync: false});
	}

	return createPipeDestination({
		fd: standardOutputFd,
		maxBufferedBytes,
		onLineDropped() {
			metrics.increment('log-lines-left-out');
		},
	});
}
