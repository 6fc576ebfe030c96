/** The exit codes of `camphortack`. They are part of its interface and do not change. */
export const exitCodes = {
	ok: 0,
	/** The check found errors, the job failed, or something was not found. */
	failed: 1,
	/** The command line is not valid. */
	usage: 2,
	/** The daemon could not be reached; nothing was done. */
	unreachable: 3,
	/** The daemon refused; nothing was done. */
	refused: 4,
	/** Somebody else published first, or the id was used for another job. */
	conflict: 5,
	/** The request was sent and its outcome is not known. */
	unknown: 6,
} as const;

export type ExitCode = typeof exitCodes[keyof typeof exitCodes];
