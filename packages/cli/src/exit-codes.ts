/** The exit codes of `camphortack`. They are part of its public interface and must not change. */
export const exitCodes = {
	ok: 0,
	/** The check found errors, the job failed, or something was not found. */
	failed: 1,
	/** The command line is invalid. */
	usage: 2,
	/** The daemon could not be reached; nothing was done. */
	unreachable: 3,
	/** The daemon refused the request; nothing was done. */
	refused: 4,
	/** Another version was published first, or the id was already used for another job. */
	conflict: 5,
	/** The request was sent, but its outcome is unknown. */
	unknown: 6,
} as const;

export type ExitCode = typeof exitCodes[keyof typeof exitCodes];
