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
	/** The destination of the lines. Defaults to standard output. */
	destination?: DestinationStream;
	/** The maximum number of lines per event name and second. */
	maxLinesPerSecond?: number;
};

const defaultMaxLinesPerSecond = 400;
const windowMs = 1000;
const standardOutputFd = 1;
/** The maximum size of the lines buffered for a slow reader. Lines that exceed it are dropped. */
const maxBufferedBytes = 1_048_576;

/**
 * Writes events as JSON lines to standard output, without blocking on the reader. Lines that exceed the rate limit of an
 * event are left out, and their number is written as a separate event.
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

/** Creates a destination that writes to standard output without blocking on its reader. */
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
