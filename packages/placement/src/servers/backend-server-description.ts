import {z} from 'zod';
import {descriptionLimits} from './description-limits.js';
import {isUrlHost} from './is-url-host.js';

const {maxBornMs, maxSequence, maxSlots, maxCpuMillicores, maxMemoryMb, maxGpus, maxRemainingMs, maxIdLength, maxNameLength, maxLabels, maxLabelLength} = descriptionLimits;

/** A time that remains, from a description. */
export const remainingTimeSchema = z.number().min(0).max(maxRemainingMs);

/** The description of a backend server from its heartbeat. */
export const backendServerDescriptionSchema = z.object({
	id: z.string().min(1).max(maxIdLength),
	/**
	 * Wall-clock start time of the incarnation, in milliseconds since 1970. Distinguishes incarnations with the same
	 * id.
	 */
	bornMs: z.int().min(0).max(maxBornMs),
	/** Increases with each heartbeat of an incarnation. */
	sequence: z.int().min(0).max(maxSequence),
	service: z.string().max(maxNameLength),
	/** The host as a URL contains it. */
	host: z.string().refine(isUrlHost, 'must be an IP address or a host name'),
	port: z.int().min(1).max(65_535),
	availabilityZone: z.string().max(maxNameLength),
	state: z.enum(['ready', 'draining']),
	slotCount: z.int().min(0).max(maxSlots),
	cpuMillicores: z.number().min(0).max(maxCpuMillicores),
	memoryMb: z.number().min(0).max(maxMemoryMb),
	gpuCount: z.number().min(0).max(maxGpus),
	labels: z.array(z.string().max(maxLabelLength)).max(maxLabels),
	/** For how long it runs tasks slowly, since it has just been put back into use; omitted if it does not. */
	coldMs: remainingTimeSchema.optional(),
	/** The least time until it is taken away; omitted if it is not known to be taken away. */
	noticeMs: remainingTimeSchema.optional(),
	/**
	 * The time since the backend server sent it; omitted where capacities do not change. A placer must not rely on the capacity
	 * in an old description.
	 */
	reportAgeMs: z.number().min(0).optional(),
});

export type BackendServerDescription = z.infer<typeof backendServerDescriptionSchema>;

/** Identifies one incarnation of a backend server. */
export type ServerIncarnation = Pick<BackendServerDescription, 'id' | 'bornMs'>;

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
