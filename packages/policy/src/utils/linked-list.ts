/** A node of a linked list. A node may be in at most one list at a time. */
export type LinkedNode<T> = {
	readonly value: T;
	previous?: LinkedNode<T>;
	next?: LinkedNode<T>;
};

/** A doubly linked list whose nodes can be removed from the middle in constant time. */
export type LinkedList<T> = {
	addFirst(node: LinkedNode<T>): void;
	addLast(node: LinkedNode<T>): void;
	remove(node: LinkedNode<T>): void;
	findFirst(): T | undefined;
};

export function createLinkedList<T>(): LinkedList<T> {
	let first: LinkedNode<T> | undefined;
	let last: LinkedNode<T> | undefined;

	function addFirst(node: LinkedNode<T>): void {
		node.previous = undefined;
		node.next = first;
		if (first === undefined) {
			last = node;
		} else {
			first.previous = node;
		}

		first = node;
	}

	function addLast(node: LinkedNode<T>): void {
		node.previous = last;
		node.next = undefined;
		if (last === undefined) {
			first = node;
		} else {
			last.next = node;
		}

		last = node;
	}

	function remove(node: LinkedNode<T>): void {
		if (node.previous === undefined) {
			first = node.next;
		} else {
			node.previous.next = node.next;
		}

		if (node.next === undefined) {
			last = node.previous;
		} else {
			node.next.previous = node.previous;
		}

		node.previous = undefined;
		node.next = undefined;
	}

	return {
		addFirst,
		addLast,
		remove,
		findFirst: () => first?.value,
	};
}
