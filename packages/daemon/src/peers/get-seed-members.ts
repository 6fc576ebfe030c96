import type {Seed} from '@camphortack/configuration';
import type {Member} from '@camphortack/core';

/**
 * Gets the daemons that the settings name, as they are known before any of them was heard.
 * @param seeds - The daemons of the settings.
 * @param keeperIds - Which of them are keepers.
 */
export function getSeedMembers(seeds: readonly Seed[], keeperIds: readonly string[]): Member[] {
	return seeds.map(({id, availabilityZone, host, port}) => ({
		id,
		incarnation: '',
		availabilityZone,
		roles: keeperIds.includes(id) ? ['entry', 'keeper'] : ['entry'],
		host,
		peerPort: port,
	}));
}
