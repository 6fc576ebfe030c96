import {z} from 'zod';

/** The description of a backend server from its heartbeat. */
export const backendServerDescriptionSchema = z.object({
	id: z.string().min(1),
	/**
	 * Wall-clock start time of the incarnation, in milliseconds since 1970. Distinguishes incarnations with the same
	 * id.
	 */
	bornMs: z.int(),
	/** Increases with each heartbeat of an incarnation. */
	sequence: z.int().min(0),
	service: z.string(),
	host: z.string(),
	port: z.int().min(1).max(65_535),
	availabilityZone: z.string(),
	state: z.enum(['ready', 'draining']),
	slotCount: z.int().min(0),
	cpuMillicores: z.number().min(0),
	memoryMb: z.number().min(0),
	gpuCount: z.number().min(0),
	labels: z.array(z.string()),
	/** For how long it runs tasks slowly, since it has just been put back into use; omitted if it does not. */
	coldMs: z.number().min(0).optional(),
	/** The least time until it is taken away; omitted if it is not known to be taken away. */
	noticeMs: z.number().min(0).optional(),
	/**
	 * The time since the backend server sent it; omitted where capacities do not change. A placer must not rely on the capacity
	 * in an old description.
	 */
	reportAgeMs: z.number().min(0).optional(),
});

export type BackendServerDescription = z.infer<typeof backendServerDescriptionSchema>;

/**
 * Whether a description is newer than the known one with the same id.
 * @param description - The received description.
 * @param known - The known description.
 */
export function isNewerDescription(description: BackendServerDescription, known: BackendServerDescription): boolean {
	if (description.bornMs !== known.bornMs) {
		return description.bornMs > known.bornMs;
	}

	return description.sequence > known.sequence;
}
