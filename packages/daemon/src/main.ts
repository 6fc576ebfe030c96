import {readFileSync} from 'node:fs';
import process from 'node:process';
import {readSettings, type Settings} from '@camphortack/configuration';
import {CamphortackError} from '@camphortack/core';
import {Cli, Command, Option} from 'clipanion';
import {DebugEventLog} from './logs/debug-event-log.js';
import {startDaemon, type Daemon} from './runtime/start-daemon.js';

const version = '0.1.0';
const failureExitCode = 1;

class RunCommand extends Command {
	static override paths = [Command.Default];

	static override usage = Command.Usage({
		description: 'Run the dispatcher daemon',
		details: 'Without a settings file it runs alone, on loopback, on free ports, with a temporary data folder.',
		examples: [
			['Run alone', '$0'],
			['Run with settings', '$0 --settings /etc/camphortack/camphortackd.ini'],
		],
	});

	settingsFile = Option.String('--settings', {description: 'The settings file (INI)'});
	isCheckOnly = Option.Boolean('--check', false, {description: 'Check the settings and exit'});

	override async execute(): Promise<number> {
		let settings: Settings;
		try {
			settings = readSettingsFile(this.settingsFile);
		} catch (error) {
			this.context.stderr.write(`${getMessage(error)}\n`);
			return failureExitCode;
		}

		if (this.isCheckOnly) {
			this.context.stdout.write('The settings are valid.\n');
			return 0;
		}

		return this.#run(settings);
	}

	async #run(settings: Settings): Promise<number> {
		try {
			const starting = startDaemon(settings);
			stopOnSignals(starting);
			const daemon = await starting;
			this.context.stdout.write(`${JSON.stringify(daemon.addresses)}\n`);
			await daemon.stopped;
			return 0;
		} catch (error) {
			this.context.stderr.write(`${getMessage(error)}\n`);
			return failureExitCode;
		}
	}
}

/** Stops the daemon on a signal, also on one that arrives during the start, when callers can already have open requests. */
function stopOnSignals(starting: Promise<Daemon>): void {
	// Not only once: a further signal must not end the process before it has answered its callers.
	process.on('SIGTERM', () => {
		void stopWhenStarted(starting);
	});
	process.once('SIGINT', () => {
		void stopWhenStarted(starting);
	});
}

async function stopWhenStarted(starting: Promise<Daemon>): Promise<void> {
	try {
		const daemon = await starting;
		await daemon.stop();
	} catch {
		// The command that started the daemon reports a failed start or stop.
	}
}

/** Logs the rejection of a promise for which nothing waits. It is that of one request, so the others are still served; a failed write or stop rejects `stopped`. */
function handleRejection(error: unknown): void {
	new DebugEventLog().write('request-failed', {message: error instanceof Error ? error.stack ?? error.message : String(error)});
}

function readSettingsFile(path: string | undefined): Settings {
	return path === undefined ? readSettings('(none)', '') : readSettings(path, readFileSync(path, 'utf8'));
}

function getMessage(error: unknown): string {
	if (error instanceof CamphortackError) {
		return error.message;
	}

	return error instanceof Error ? `${error.name}: ${error.message}` : String(error);
}

process.on('unhandledRejection', handleRejection);
const cli = new Cli({binaryLabel: 'camphortackd', binaryName: 'camphortackd', binaryVersion: version});
cli.register(RunCommand);
const exitCode = await cli.run(process.argv.slice(2));
if (exitCode !== 0) {
	// After a failed sync the state of the files is unknown and no more requests may be answered. Exits at once, although open
	// connections would keep the process alive.
	process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit -- This is the program's entry point.
}
