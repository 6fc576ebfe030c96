import type {BackendServerDescription} from './backend-server-description.js';

/** A backend server must be used within a smaller capacity when it has reported it, with its next heartbeat or the one after. */
const maxReportAgeMs = 4000;

/**
 * Whether the capacity of a backend server may have shrunk since its last report, and tasks must not start there.
 * @param description - The backend server.
 *
 * @example
 * ```ts
 * hasOldReport({...description, reportAgeMs: 5000}); // true
 * hasOldReport({...description, reportAgeMs: undefined}); // false: capacities do not change
 * ```
 */
export function hasOldReport({reportAgeMs}: Pick<BackendServerDescription, 'reportAgeMs'>): boolean {
	return reportAgeMs !== undefined && reportAgeMs > maxReportAgeMs;
}
