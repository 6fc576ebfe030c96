import {z} from 'zod';
import {nameSchema} from '@camphortack/core';
import {tokenHashSchema} from '../objects/object-schemas.js';

const loopbackHost = '127.0.0.1';

const hostSchema = z.string().min(1).max(255).default(loopbackHost)
	.meta({form: 'a host name or IP address'});
const portSchema = z.int().min(0).max(65_535).default(0)
	.describe('The TCP port; 0 selects a free port.');
const fileSchema = z.string().min(1).meta({form: 'a path'});

const seedPattern = /^(?<id>[\w.:\-]{1,128})@(?<availabilityZone>[\w.:\-]{1,128})@(?<host>\[[\da-fA-F:.]+\]|[\w.\-]+):(?<port>\d{1,5})$/v;

/** The identity and address of a daemon to contact first. */
export type Seed = {
	id: string;
	availabilityZone: string;
	host: string;
	port: number;
};

const seedSchema = z.string().regex(seedPattern).transform((text): Seed => {
	const {id, availabilityZone, host, port} = seedPattern.exec(text)!.groups!;
	return {
		id: id!,
		availabilityZone: availabilityZone!,
		host: host!.replaceAll(/[\[\]]/gv, ''),
		port: Number(port),
	};
}).refine(seed => seed.port >= 1 && seed.port <= 65_535).meta({form: 'id@availability-zone@host:port'});

const daemonSettingsSchema = z.strictObject({
	id: nameSchema.default('daemon-1')
		.describe('The id of the daemon; unique among all daemons and unchanged by a restart.'),
	availabilityZone: nameSchema.default('zone-1')
		.describe('The availability zone of the daemon\'s VM.'),
	roles: z.array(z.enum(['entry', 'keeper'])).min(1).default(['entry', 'keeper'])
		.describe('entry: accepts requests and starts tasks. keeper: stores the durable state; its VM needs a disk.'),
	dataFolder: fileSchema.optional()
		.describe('The folder in which a keeper stores its files. If not set, a temporary folder is used and its content is lost when the daemon stops.'),
	memoryMegabytes: z.int().min(64).max(1_048_576).default(1024)
		.describe('The memory that the process may use. The bounds on what clients can make it keep are shares of it.'),
	maxFileDescriptors: z.int().min(256).max(1_048_576).default(16_384)
		.describe('The number of file descriptors that the process may open. The bounds on connections are shares of it.'),
});

const listenerShape = {
	host: hostSchema.describe('The address to listen on.'),
	port: portSchema,
};

const backendServersSettingsSchema = z.strictObject({
	...listenerShape,
	tokenHashes: z.array(tokenHashSchema).default([])
		.describe('The SHA-256 hash of each token with which backend servers may announce themselves; if empty, the operators\' tokens are used.'),
});

const operatorsSettingsSchema = z.strictObject({
	...listenerShape,
	tokenHashes: z.array(tokenHashSchema).default([])
		.describe('The SHA-256 hash of each operator\'s token, as printed by `camphortack token`. If empty, the daemon may listen only on loopback addresses.'),
});

const peersSettingsSchema = z.strictObject({
	...listenerShape,
	seeds: z.array(seedSchema).default([])
		.describe('The daemons to contact first; the other daemons are discovered through them.'),
	tlsCertificateFile: fileSchema.optional()
		.describe('The certificate of this daemon (PEM). Set all three TLS files or none.'),
	tlsKeyFile: fileSchema.optional()
		.describe('The private key of the certificate (PEM).'),
	tlsAuthorityFile: fileSchema.optional()
		.describe('The certificate authority that signed the certificates of all daemons (PEM); both ends of a connection are verified.'),
});

const keepersSettingsSchema = z.strictObject({
	ids: z.array(nameSchema).default([])
		.describe('The keepers that vote when the system starts for the first time; if empty, only this daemon.'),
});

const metricsSettingsSchema = z.strictObject({
	host: z.string().min(1).max(255).optional().meta({form: 'a host name or IP address'})
		.describe('The host to which metrics are sent (statsd over UDP); if not set, no metrics are sent.'),
	port: z.int().min(1).max(65_535).default(8125)
		.describe('The UDP port of the statsd server.'),
	prefix: z.string().regex(/^[\w.\-]*$/v).default('camphortack.').meta({form: 'letters, digits, ".", "_" and "-"'})
		.describe('The prefix of all metric names.'),
});

/** The settings of a daemon, by section. */
export const settingsSchema = z.strictObject({
	daemon: daemonSettingsSchema.describe('The identity and roles of this daemon.'),
	callers: z.strictObject(listenerShape).describe('The HTTP port that accepts requests and jobs from callers.'),
	'backend-servers': backendServersSettingsSchema.describe('The HTTP port on which backend servers announce themselves.'),
	operators: operatorsSettingsSchema.describe('The HTTP port for operators, for publishing and status queries.'),
	peers: peersSettingsSchema.describe('The TCP port for connections from other daemons.'),
	keepers: keepersSettingsSchema.describe('The daemons that store the durable state.'),
	metrics: metricsSettingsSchema.describe('The export of metrics.'),
});

export type Settings = z.infer<typeof settingsSchema>;
export type SettingsSectionName = keyof Settings;
