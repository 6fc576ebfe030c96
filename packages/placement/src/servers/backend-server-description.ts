import {z} from 'zod';

/** What a backend server says of itself in a heartbeat. */
export const backendServerDescriptionSchema = z.object({
	id: z.string().min(1),
	/** Wall-clock start of this incarnation, in milliseconds since 1970. Tells two incarnations of one id apart. */
	bornMs: z.int(),
	/** Rises with each heartbeat of an incarnation. */
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
});

export type BackendServerDescription = z.infer<typeof backendServerDescriptionSchema>;

/**
 * Whether a description says something newer than another one of the same id.
 * @param description - The description that came in.
 * @param known - The one known so far.
 */
export function isNewerDescription(description: BackendServerDescription, known: BackendServerDescription): boolean {
	if (description.bornMs !== known.bornMs) {
		return description.bornMs > known.bornMs;
	}

	return description.sequence > known.sequence;
}
