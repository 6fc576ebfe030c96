import {z} from 'zod';
import {hostSchema} from './host-schema.js';
import {nameSchema} from './job-schemas.js';

/** More than any machine has. A larger number is a fault of the writer, and would be taken for room without end. */
const maxProcessors = 65_536;
const maxMemoryMegabytes = 1_000_000_000;
const maxAccelerators = 65_536;

/** The body of `POST /v1/backend-servers`: registers a backend server, or renews its registration. */
export const backendServerAnnouncementSchema = z.strictObject({
	id: nameSchema,
	/** Unique to each start of the backend server's process. */
	incarnation: nameSchema,
	host: hostSchema,
	port: z.int().min(1).max(65_535),
	availabilityZone: nameSchema,
	rack: nameSchema.optional(),
	slots: z.int().min(1).max(4096),
	connectionLimit: z.int().min(1).max(65_535).default(60),
	processors: z.number().positive().max(maxProcessors).default(1),
	memoryMegabytes: z.number().positive().max(maxMemoryMegabytes).default(1024),
	accelerators: z.int().min(0).max(maxAccelerators).default(0),
	services: z.array(nameSchema).min(1).max(1000),
	/** How long the announcement is valid without a renewal or a response to a task. */
	timeToLiveMs: z.int().min(1000).max(600_000).default(15_000),
});

/** The body of `POST /v1/backend-servers/{id}/farewell`: the backend server accepts no new work. */
export const backendServerFarewellSchema = z.strictObject({
	incarnation: nameSchema,
});

export type BackendServerAnnouncement = z.infer<typeof backendServerAnnouncementSchema>;
