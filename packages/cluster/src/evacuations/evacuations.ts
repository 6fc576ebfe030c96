import {z} from 'zod';

/** The evacuated availability zones, as the keepers have agreed on them. */
export const evacuationsSchema = z.object({
	/** Increases with each change; 0 before the first one. */
	revision: z.int().min(0),
	availabilityZones: z.array(z.string()),
});

export type Evacuations = z.infer<typeof evacuationsSchema>;
