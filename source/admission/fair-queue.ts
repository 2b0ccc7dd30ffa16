/**
 * Weighted fair queueing by virtual time: start-time fair queueing over flows, with a bounded length.
 *
 * @module
 */

/** An item that waits. */
export type QueuedItem = {
	/** Flow that it belongs to, the workspace. */
	flow: string;
	/** Share of the flow relative to the others. */
	weight: number;
	/** Size in tokens. */
	tokens: number;
};

/** Options of {@linkcode FairQueue}. */
export type FairQueueOptions = {
	/** Items that wait at most. */
	capacity: number;
};

type Flow<Item> = {
	items: Item[];
	/** Virtual time at which the next item starts. */
	start: number;
	weight: number;
	queuedTokens: number;
};

/**
 * Orders items so that each flow that waits gets its share of tokens, whatever the others ask for.
 *
 * @example
 * ```ts
 * const dropped = queue.push({flow: 'workspace-1', weight: 1, tokens: 300});
 * const next = queue.shift();
 * ```
 */
export class FairQueue<Item extends QueuedItem> {
	readonly #capacity: number;
	readonly #flows = new Map<string, Flow<Item>>();
	readonly #waiting = new Set<Flow<Item>>();
	#virtualTime = 0;
	#size = 0;

	constructor(options: FairQueueOptions) {
		this.#capacity = options.capacity;
	}

	/** Items that wait. */
	get size(): number {
		return this.#size;
	}

	/** Tokens that wait. */
	get queuedTokens(): number {
		let tokens = 0;
		for (const flow of this.#waiting) {
			tokens += flow.queuedTokens;
		}

		return tokens;
	}

	/**
	 * Adds an item; when the queue is full, drops the last item of the flow whose backlog is the largest for its weight.
	 *
	 * @param item The item.
	 * @returns The item dropped, which may be the one added.
	 */
	push(item: Item): Item | undefined {
		const flow = this.#flowOf(item);
		flow.items.push(item);
		flow.queuedTokens += item.tokens;
		this.#waiting.add(flow);
		this.#size += 1;
		return this.#size > this.#capacity ? this.#dropLongest() : undefined;
	}

	/** Returns the item that starts next, without removing it. */
	peek(): Item | undefined {
		return this.#nextFlow()?.items[0];
	}

	/** Removes the item that starts next and charges its flow. */
	shift(): Item | undefined {
		const flow = this.#nextFlow();
		const item = flow?.items[0];
		if (!flow || !item) {
			return undefined;
		}

		this.#virtualTime = Math.max(this.#virtualTime, flow.start);
		flow.start += item.tokens / flow.weight;
		this.#take(flow, 0);
		return item;
	}

	/** Removes an item that no longer waits; its flow is not charged. */
	remove(item: Item): boolean {
		const flow = this.#flows.get(item.flow);
		const position = flow?.items.indexOf(item) ?? -1;
		if (!flow || position === -1) {
			return false;
		}

		this.#take(flow, position);
		return true;
	}

	/** Returns the last item of each flow that waits. */
	tails(): Item[] {
		return [...this.#waiting].map(flow => flow.items.at(-1)!);
	}

	/** Returns every item that waits. */
	items(): Item[] {
		return [...this.#waiting].flatMap(flow => flow.items);
	}

	/**
	 * Estimates the tokens that start before the last item of a flow, or before a new one when `own` is its whole backlog.
	 *
	 * @param name Name of the flow.
	 * @param weight Weight of the flow.
	 * @param own Tokens of the flow itself that start before.
	 */
	tokensAhead(name: string, weight: number, own: number): number {
		const flow = this.#flows.get(name);
		const start = Math.max(this.#virtualTime, flow?.start ?? 0) + (own / weight);
		let tokens = own;
		for (const other of this.#waiting) {
			if (other !== flow) {
				tokens += Math.min(other.queuedTokens, Math.max(0, start - other.start) * other.weight);
			}
		}

		return tokens;
	}

	/** Tokens of a flow that wait. */
	backlogOf(name: string): number {
		return this.#flows.get(name)?.queuedTokens ?? 0;
	}

	#flowOf(item: Item): Flow<Item> {
		let flow = this.#flows.get(item.flow);
		if (!flow) {
			flow = {
				items: [], start: 0, weight: item.weight, queuedTokens: 0,
			};
			this.#flows.set(item.flow, flow);
		}

		flow.weight = item.weight;
		if (flow.items.length === 0) {
			flow.start = Math.max(flow.start, this.#virtualTime);
		}

		return flow;
	}

	#nextFlow(): Flow<Item> | undefined {
		let next: Flow<Item> | undefined;
		for (const flow of this.#waiting) {
			if (next === undefined || flow.start < next.start) {
				next = flow;
			}
		}

		return next;
	}

	#dropLongest(): Item {
		let longest: Flow<Item> | undefined;
		for (const flow of this.#waiting) {
			if (longest === undefined || flow.queuedTokens / flow.weight > longest.queuedTokens / longest.weight) {
				longest = flow;
			}
		}

		return this.#take(longest!, longest!.items.length - 1);
	}

	#take(flow: Flow<Item>, position: number): Item {
		const [item] = flow.items.splice(position, 1);
		flow.queuedTokens -= item!.tokens;
		this.#size -= 1;
		if (flow.items.length === 0) {
			this.#waiting.delete(flow);
		}

		return item!;
	}
}
