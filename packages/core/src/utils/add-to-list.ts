/**
 * Adds an item to the list of a key, which is created with its first item.
 * @param lists - The lists by key.
 * @param key - The key of the list.
 * @param item - The item.
 *
 * @example
 * ```ts
 * const lists = new Map<string, number[]>();
 * addToList(lists, 'zone-a', 1); // Map {'zone-a' => [1]}
 * ```
 */
export function addToList<Key, Item>(lists: Map<Key, Item[]>, key: Key, item: Item): void {
	const list = lists.get(key);
	if (list === undefined) {
		lists.set(key, [item]);
	} else {
		list.push(item);
	}
}
