import type {FindingPlace} from '@camphortack/core';

/** An index of the file and line of each object and of each of its keys. */
export type ConfigurationPlaces = {
	/** Adds an object. If the name is declared more than once, the first place is kept. */
	addObject(object: string, place: FindingPlace): void;
	addKey(object: string, key: string, place: FindingPlace): void;
	/** Whether the files declare the object, even if its section is invalid. */
	hasObject(object: string): boolean;
	/** Gets the place of a key, or of its object if the files do not set the key. Without either, the place has only the names. */
	getPlace(object: string, key?: string): FindingPlace;
};

/**
 * Creates an empty index.
 *
 * @example
 * ```ts
 * const places = createConfigurationPlaces();
 * places.addObject('pool/walnut', {file: 'pools.ini', line: 3});
 * places.getPlace('pool/walnut', 'limits'); // {file: 'pools.ini', line: 3, object: 'pool/walnut', key: 'limits'}
 * ```
 */
export function createConfigurationPlaces(): ConfigurationPlaces {
	const objectPlaces = new Map<string, FindingPlace>();
	const keyPlaces = new Map<string, FindingPlace>();

	const getKeyName = (object: string, key: string) => `${object} ${key}`;

	return {
		addObject(object, place) {
			if (!objectPlaces.has(object)) {
				objectPlaces.set(object, place);
			}
		},
		addKey(object, key, place) {
			keyPlaces.set(getKeyName(object, key), place);
		},
		hasObject: object => objectPlaces.has(object),
		getPlace(object, key) {
			const objectPlace = {...objectPlaces.get(object), object};
			if (key === undefined) {
				return objectPlace;
			}

			return {...objectPlace, ...keyPlaces.get(getKeyName(object, key)), key};
		},
	};
}
