import type {FindingPlace} from '@camphortack/core';
import {createErrorFinding, type ConfigurationFinding} from '../findings/configuration-finding.js';
import type {Settings, SettingsSectionName} from './settings-schema.js';

/** Gets the place of a setting, or of its section if the file does not set the key. */
export type GetSettingPlace = (section: SettingsSectionName, key?: string) => FindingPlace;

const listenerSections = ['callers', 'backend-servers', 'operators', 'peers'] as const satisfies readonly SettingsSectionName[];
const tlsKeys = ['tlsCertificateFile', 'tlsKeyFile', 'tlsAuthorityFile'] as const;

/**
 * Checks rules that span several settings.
 * @param settings - The settings, each of which is valid on its own.
 * @param getPlace - Gets the place of a setting.
 */
export function checkSettings(settings: Settings, getPlace: GetSettingPlace): ConfigurationFinding[] {
	return [
		...checkListeners(settings, getPlace),
		...checkTls(settings, getPlace),
		...checkKeepers(settings, getPlace),
		...checkSeeds(settings, getPlace),
	];
}

function checkListeners(settings: Settings, getPlace: GetSettingPlace): ConfigurationFinding[] {
	if (settings.operators.tokenHashes.length > 0) {
		return [];
	}

	return listenerSections
		.filter(section => !isLoopback(settings[section].host))
		.map(section => {
			const message = `"${settings[section].host}" is reachable from other VMs, but [operators] tokenHashes is empty; set a token or listen on 127.0.0.1`;
			return createErrorFinding('no-tokens', message, getPlace(section, 'host'));
		});
}

function checkTls(settings: Settings, getPlace: GetSettingPlace): ConfigurationFinding[] {
	const missingKeys = tlsKeys.filter(key => settings.peers[key] === undefined);
	if (missingKeys.length === 0 || missingKeys.length === tlsKeys.length) {
		return [];
	}

	return missingKeys.map(key => createErrorFinding('missing-key', 'is missing: set all three TLS files or none', getPlace('peers', key)));
}

function checkKeepers(settings: Settings, getPlace: GetSettingPlace): ConfigurationFinding[] {
	const {id, roles, dataFolder} = settings.daemon;
	const {ids} = settings.keepers;
	const isKeeper = roles.includes('keeper');
	const isListed = ids.includes(id);
	const findings: ConfigurationFinding[] = [];
	if (isKeeper && ids.length > 1 && dataFolder === undefined) {
		findings.push(createErrorFinding('missing-key', 'is missing: one of several keepers must have a permanent data folder', getPlace('daemon', 'dataFolder')));
	}

	if (!isKeeper && isListed) {
		findings.push(createErrorFinding('keeper-role', `lists this daemon "${id}", which does not have the keeper role`, getPlace('keepers', 'ids')));
	}

	if (!isKeeper && ids.length === 0) {
		findings.push(createErrorFinding('missing-key', 'is missing: a daemon without the keeper role must list the keepers', getPlace('keepers', 'ids')));
	}

	return findings;
}

function checkSeeds(settings: Settings, getPlace: GetSettingPlace): ConfigurationFinding[] {
	const findings: ConfigurationFinding[] = [];
	const seen = new Set<string>();
	for (const {id} of settings.peers.seeds) {
		if (seen.has(id)) {
			findings.push(createErrorFinding('name-twice', `lists "${id}" twice`, getPlace('peers', 'seeds')));
		}

		seen.add(id);
	}

	const isAlone = settings.keepers.ids.every(id => id === settings.daemon.id);
	if (!isAlone && settings.peers.seeds.every(seed => seed.id === settings.daemon.id)) {
		findings.push(createErrorFinding('missing-key', 'is missing: other keepers are listed, but no daemon to contact', getPlace('peers', 'seeds')));
	}

	return findings;
}

function isLoopback(host: string): boolean {
	return host === 'localhost' || host === '::1' || /^127(?:\.\d{1,3}){3}$/v.test(host);
}
