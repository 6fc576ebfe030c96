import type {FindingPlace} from '@camphortack/core';

/** Where each object and each of its keys stands in the files. */
export type ConfigurationPlaces = {
	/** Adds an object. A later object of the same name does not replace the place. */
	addObject(object: string, place: FindingPlace): void;
	addKey(object: string, key: string, place: FindingPlace): void;
	/** Whether the files declare the object, even if it could not be read whole. */
	hasObject(object: string): boolean;
	/** Gets the place of a key, or of its object if the key is not written, or just the names. */
	getPlace(object: string, key?: string): FindingPlace;
};

/**
 * Creates an empty index of places.
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
