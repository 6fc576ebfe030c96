import {z} from 'zod';
import {nameSchema} from '@camphortack/core';
import {tokenHashSchema} from '../objects/object-schemas.js';

const loopbackHost = '127.0.0.1';

const hostSchema = z.string().min(1).max(255).default(loopbackHost)
	.meta({form: 'a host name or IP number'});
const portSchema = z.int().min(0).max(65_535).default(0)
	.describe('The TCP port; 0 means a free port.');
const fileSchema = z.string().min(1).meta({form: 'a path'});

const seedPattern = /^(?<id>[\w.:\-]{1,128})@(?<availabilityZone>[\w.:\-]{1,128})@(?<host>\[[\da-fA-F:.]+\]|[\w.\-]+):(?<port>\d{1,5})$/v;

/** Another daemon, as it is named in the settings. */
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
		.describe('The daemon\'s name, unique among all daemons and the same after a restart.'),
	availabilityZone: nameSchema.default('zone-1')
		.describe('The availability zone of this VM.'),
	roles: z.array(z.enum(['entry', 'keeper'])).min(1).default(['entry', 'keeper'])
		.describe('entry: takes requests and starts tasks. keeper: keeps the state that must survive; its VM needs a disk.'),
	dataFolder: fileSchema.optional()
		.describe('Where a keeper keeps its files. Without it they go to a temporary folder and are lost at the end.'),
});

const listenerShape = {
	host: hostSchema.describe('The address to listen on.'),
	port: portSchema,
};

const backendServersSettingsSchema = z.strictObject({
	...listenerShape,
	tokenHashes: z.array(tokenHashSchema).default([])
		.describe('SHA-256 of each token that a backend server may announce itself with; none: the operators\' tokens.'),
});

const operatorsSettingsSchema = z.strictObject({
	...listenerShape,
	tokenHashes: z.array(tokenHashSchema).default([])
		.describe('SHA-256 of each operator\'s token, as `camphortack token` prints it. Without one, every address must be loopback.'),
});

const peersSettingsSchema = z.strictObject({
	...listenerShape,
	seeds: z.array(seedSchema).default([])
		.describe('The daemons to contact first; the others are learnt from them.'),
	tlsCertificateFile: fileSchema.optional()
		.describe('The certificate of this daemon (PEM). Set all three TLS files or none.'),
	tlsKeyFile: fileSchema.optional()
		.describe('The private key of the certificate (PEM).'),
	tlsAuthorityFile: fileSchema.optional()
		.describe('The authority that signed the certificates of all daemons (PEM); both sides of a link are verified.'),
});

const keepersSettingsSchema = z.strictObject({
	ids: z.array(nameSchema).default([])
		.describe('The keepers that vote when the system starts for the first time; none named: this daemon alone.'),
});

const metricsSettingsSchema = z.strictObject({
	host: z.string().min(1).max(255).optional().meta({form: 'a host name or IP number'})
		.describe('Where metrics are sent (statsd over UDP); none: they are not sent.'),
	port: z.int().min(1).max(65_535).default(8125)
		.describe('The UDP port of the statsd server.'),
	prefix: z.string().regex(/^[\w.\-]*$/v).default('camphortack.').meta({form: 'letters, digits, ".", "_" and "-"'})
		.describe('What the name of each metric starts with.'),
});

/** The daemon's settings, by section. */
export const settingsSchema = z.strictObject({
	daemon: daemonSettingsSchema.describe('Who this daemon is.'),
	callers: z.strictObject(listenerShape).describe('Where callers send requests and jobs (HTTP).'),
	'backend-servers': backendServersSettingsSchema.describe('Where backend servers announce themselves (HTTP).'),
	operators: operatorsSettingsSchema.describe('Where operators publish and ask for the status (HTTP).'),
	peers: peersSettingsSchema.describe('Where other daemons connect (TCP).'),
	keepers: keepersSettingsSchema.describe('The daemons that keep the state that must survive.'),
	metrics: metricsSettingsSchema.describe('Where metrics go.'),
});

export type Settings = z.infer<typeof settingsSchema>;
export type SettingsSectionName = keyof Settings;
