import {Builtins, Cli} from 'clipanion';
import type {CamphortackContext} from './camphortack-context.js';
import {CancelCommand} from './commands/cancel-command.js';
import {CheckCommand} from './commands/check-command.js';
import {DiffCommand} from './commands/diff-command.js';
import {DrainCommand} from './commands/drain-command.js';
import {EvacuateCommand} from './commands/evacuate-command.js';
import {ExplainCommand} from './commands/explain-command.js';
import {HistoryCommand} from './commands/history-command.js';
import {JobCommand} from './commands/job-command.js';
import {LimitsCommand} from './commands/limits-command.js';
import {PublishCommand} from './commands/publish-command.js';
import {RollbackCommand} from './commands/rollback-command.js';
import {ShowCommand} from './commands/show-command.js';
import {StatusCommand} from './commands/status-command.js';
import {SubmitCommand} from './commands/submit-command.js';
import {TokenCommand} from './commands/token-command.js';
import {VersionCommand} from './commands/version-command.js';
import {WhereCommand} from './commands/where-command.js';
import {exitCodes} from './exit-codes.js';
import {getPackageVersion} from './utils/get-package-version.js';

const commands = [
	Builtins.HelpCommand,
	CancelCommand,
	CheckCommand,
	DiffCommand,
	DrainCommand,
	EvacuateCommand,
	ExplainCommand,
	HistoryCommand,
	JobCommand,
	LimitsCommand,
	PublishCommand,
	RollbackCommand,
	ShowCommand,
	StatusCommand,
	SubmitCommand,
	TokenCommand,
	VersionCommand,
	WhereCommand,
];

/** Creates the command-line interface with all commands. */
export function createCli(): Cli<CamphortackContext> {
	return Cli.from<CamphortackContext>(commands, {
		binaryLabel: 'camphortack',
		binaryName: 'camphortack',
		binaryVersion: getPackageVersion(),
	});
}

/**
 * Runs a command.
 * @param args - The command-line arguments, without the name of the program.
 * @param context - The streams, environment variables, random source and timer.
 * @returns The exit code.
 *
 * @example
 * ```ts
 * const exitCode = await runCamphortack(['check', 'objects/'], context);
 * ```
 */
export async function runCamphortack(args: string[], context: CamphortackContext): Promise<number> {
	const cli = createCli();
	try {
		cli.process(args, context);
	} catch (error) {
		context.stderr.write(cli.error(error instanceof Error ? error : new Error(String(error))));
		return exitCodes.usage;
	}

	return cli.run(args, context);
}
