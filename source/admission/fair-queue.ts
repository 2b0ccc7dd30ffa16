/**
 * Start-time fair queueing (weighted, by virtual time) over flows, with a bounded length.
 *
 * @module
 */

/** An item of the queue. */
export type QueuedItem = {
	/** Flow that the item belongs to: its workspace. */
	flow: string;
	/** Weight of the flow, relative to other flows. */
	weight: number;
	/** Size in tokens. */
	tokens: number;
};

/** Options of {@linkcode FairQueue}. */
export type FairQueueOptions = {
	/** Maximum number of queued items. */
	capacity: number;
};

type Flow<Item> = {
	items: Item[];
	/** Virtual start time of the next item. */
	virtualStart: number;
	weight: number;
	queuedTokens: number;
};

/**
 * Orders items so that each backlogged flow gets its share of tokens, however much the other flows request.
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
	readonly #backlogged = new Set<Flow<Item>>();
	#virtualTime = 0;
	#size = 0;

	constructor(options: FairQueueOptions) {
		this.#capacity = options.capacity;
	}

	/** Number of queued items. */
	get size(): number {
		return this.#size;
	}

	/** Number of queued tokens. */
	get queuedTokens(): number {
		let tokens = 0;
		for (const flow of this.#backlogged) {
			tokens += flow.queuedTokens;
		}

		return tokens;
	}

	/**
	 * Adds an item; when the queue is full, drops the last item of the flow with the largest backlog relative to its weight.
	 *
	 * @param item The item.
	 * @returns The dropped item, which may be the added one.
	 */
	push(item: Item): Item | undefined {
		const flow = this.#flowOf(item);
		flow.items.push(item);
		flow.queuedTokens += item.tokens;
		this.#backlogged.add(flow);
		this.#size += 1;
		return this.#size > this.#capacity ? this.#dropFromLargestBacklog() : undefined;
	}

	/** Returns the next item, without removing it. */
	peek(): Item | undefined {
		return this.#nextFlow()?.items[0];
	}

	/** Removes the next item, charges its tokens to its flow and returns it. */
	shift(): Item | undefined {
		const flow = this.#nextFlow();
		const item = flow?.items[0];
		if (!flow || !item) {
			return undefined;
		}

		this.#virtualTime = Math.max(this.#virtualTime, flow.virtualStart);
		flow.virtualStart += item.tokens / flow.weight;
		this.#removeAt(flow, 0);
		return item;
	}

	/** Removes an item without charging its flow; returns whether it was queued. */
	remove(item: Item): boolean {
		const flow = this.#flows.get(item.flow);
		const position = flow?.items.indexOf(item) ?? -1;
		if (!flow || position === -1) {
			return false;
		}

		this.#removeAt(flow, position);
		return true;
	}

	/** Returns the last item of each backlogged flow. */
	tails(): Item[] {
		return [...this.#backlogged].map(flow => flow.items.at(-1)!);
	}

	/** Returns all queued items. */
	items(): Item[] {
		return [...this.#backlogged].flatMap(flow => flow.items);
	}

	/**
	 * Estimates the tokens that start before the last item of a flow, or before a new item if `ownTokens` is the whole backlog of the flow.
	 *
	 * @param name Name of the flow.
	 * @param weight Weight of the flow.
	 * @param ownTokens Tokens of the flow itself that start before the item.
	 */
	tokensAhead(name: string, weight: number, ownTokens: number): number {
		const flow = this.#flows.get(name);
		const start = Math.max(this.#virtualTime, flow?.virtualStart ?? 0) + (ownTokens / weight);
		let tokens = ownTokens;
		for (const other of this.#backlogged) {
			if (other !== flow) {
				tokens += Math.min(other.queuedTokens, Math.max(0, start - other.virtualStart) * other.weight);
			}
		}

		return tokens;
	}

	/** Returns the queued tokens of a flow. */
	backlogOf(name: string): number {
		return this.#flows.get(name)?.queuedTokens ?? 0;
	}

	#flowOf(item: Item): Flow<Item> {
		let flow = this.#flows.get(item.flow);
		if (!flow) {
			flow = {
				items: [], virtualStart: 0, weight: item.weight, queuedTokens: 0,
			};
			this.#flows.set(item.flow, flow);
		}

		flow.weight = item.weight;
		if (flow.items.length === 0) {
			flow.virtualStart = Math.max(flow.virtualStart, this.#virtualTime);
		}

		return flow;
	}

	#nextFlow(): Flow<Item> | undefined {
		let next: Flow<Item> | undefined;
		for (const flow of this.#backlogged) {
			if (next === undefined || flow.virtualStart < next.virtualStart) {
				next = flow;
			}
		}

		return next;
	}

	#dropFromLargestBacklog(): Item {
		let largest: Flow<Item> | undefined;
		for (const flow of this.#backlogged) {
			if (largest === undefined || flow.queuedTokens / flow.weight > largest.queuedTokens / largest.weight) {
				largest = flow;
			}
		}

		return this.#removeAt(largest!, largest!.items.length - 1);
	}

	#removeAt(flow: Flow<Item>, position: number): Item {
		const [item] = flow.items.splice(position, 1);
		flow.queuedTokens -= item!.tokens;
		this.#size -= 1;
		if (flow.items.length === 0) {
			this.#backlogged.delete(flow);
		}

		return item!;
	}
}
