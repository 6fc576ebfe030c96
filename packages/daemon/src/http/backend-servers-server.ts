import type {RequestGuardOptions} from '@camphortack/process';
import type {Server} from 'restify';
import {
	backendServerAnnouncementSchema, backendServerFarewellSchema, type BackendServerAnnouncement, type EventLog,
} from '@camphortack/core';
import {createHttpServer} from './create-http-server.js';
import {getPathParameter} from './get-path-parameter.js';
import {parseBody, sendInputError} from './parse-body.js';
import {readJsonBody} from './read-json-body.js';
import {sendJson} from './send-json.js';

const maxAnnouncementBytes = 262_144;

export type BackendServersServerOptions = {
	events: EventLog;
	limits: RequestGuardOptions;
	isAuthorized: (authorization: string | undefined) => boolean;
	onAnnouncement: (announcement: BackendServerAnnouncement) => void;
	onFarewell: (backendServerId: string, incarnation: string) => void;
};

/**
 * Creates the HTTP interface on which backend servers announce themselves. docs/BACKEND-SERVERS.md describes it.
 * @param options - The authorization check and the handlers of the announcements.
 */
export function createBackendServersServer(options: BackendServersServerOptions): Server {
	const server = createHttpServer('camphortack', options.limits);
	server.post('/v1/backend-servers', async (request, response) => {
		if (!options.isAuthorized(request.headers.authorization)) {
			sendJson(response, 401, {code: 'unauthorized'});
			return;
		}

		try {
			const announcement = parseBody(backendServerAnnouncementSchema, await readJsonBody(request, maxAnnouncementBytes));
			options.onAnnouncement(announcement);
			sendJson(response, 200, {renewWithinMs: announcement.timeToLiveMs});
		} catch (error) {
			sendInputError(response, error, options.events);
		}
	});
	server.post('/v1/backend-servers/:id/farewell', async (request, response) => {
		if (!options.isAuthorized(request.headers.authorization)) {
			sendJson(response, 401, {code: 'unauthorized'});
			return;
		}

		try {
			const {incarnation} = parseBody(backendServerFarewellSchema, await readJsonBody(request, maxAnnouncementBytes));
			options.onFarewell(getPathParameter(request.params, 'id'), incarnation);
			sendJson(response, 200, {state: 'leaving'});
		} catch (error) {
			sendInputError(response, error, options.events);
		}
	});
	return server;
}
