import type {RefusalCode} from '../refusals/refusal-codes.js';
import type {FailureReason} from '../schemas/outcome-schemas.js';

/** Every metric but the counters made from refusal codes and failure reasons. docs/METRICS.md lists them. */
export const metricDescriptions = {
	'job-accepted': 'Jobs and requests accepted.',
	'job-complete': 'Jobs answered complete.',
	'job-attached': 'Resubmissions that attached to a running job or got its stored outcome.',
	'job-response-time': 'Time from arrival to the answer, in milliseconds.',
	'task-started': 'Tasks sent to a backend server.',
	'task-done': 'Tasks that ended with a result.',
	'task-error': 'Tasks that ran and ended in an error.',
	'task-lost': 'Tasks that were sent and whose end is not known.',
	'task-queue-time': 'Time that a task waited for a slot, in milliseconds.',
	'task-queued': 'Tasks that wait for a slot.',
	'task-stopped': 'Running tasks told to stop.',
	'answer-discarded-late': 'Answers that came after their task was given up.',
	'answer-discarded-doubled': 'Answers that came a second time.',
	'answer-discarded-unknown': 'Answers that belong to no attempt.',
	'retry-connect-refused': 'Tasks placed again because the connection was refused before any byte was sent.',
	'retry-not-run': 'Tasks placed again because the backend server said that they did not run.',
	'retry-idempotent': 'Idempotent tasks placed again after they may have run.',
	'retry-denied-budget': 'Retries not made because the retry budget was used up.',
	'retry-denied-not-idempotent': 'Retries not made because the task may have run and is not idempotent.',
	'hedge-started': 'Second attempts started for slow idempotent tasks.',
	'hedge-won': 'Second attempts that answered first.',
	'backend-server-announced': 'Announcements of backend servers.',
	'backend-server-expired': 'Backend servers that stopped renewing.',
	'backend-server-ejected': 'Backend servers ejected because they failed tasks of several jobs.',
	'backend-server-trial': 'Single tasks sent to an ejected backend server to try it.',
	'peer-sent': 'Messages sent to other daemons.',
	'peer-received': 'Messages received from other daemons.',
	'peer-dropped': 'Messages to other daemons dropped because a buffer was full or the link was down.',
	'slots-held': 'Slots held under leases.',
	'slots-borrowed': 'Slots received from another daemon.',
	'slots-lent': 'Slots given to another daemon.',
	'configuration-version': 'The version of the configuration in force.',
	'storage-synced': 'Group commits written and synced.',
	'storage-sync-time': 'Duration of a group commit, in milliseconds.',
	'consensus-elections': 'Elections started.',
	'membership-suspected': 'Daemons suspected to have failed.',
} as const;

export type MetricName = keyof typeof metricDescriptions | `refused-${RefusalCode}` | `job-failed-${FailureReason}`;
