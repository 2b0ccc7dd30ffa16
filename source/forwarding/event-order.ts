/**
 * Decides whether an event may follow another one.
 *
 * Answers engines that repeat events, as one that was asked to go on from an earlier event than the caller has.
 *
 * @module
 */

/**
 * Whether an event comes after the newest one that the caller has. Ids that are no whole numbers are not compared.
 *
 * @param lastEvent Id of the newest event, if there is one.
 * @param event Id of the event, if it has one.
 * @example
 * ```ts
 * followsEvent('7', '8'); // true
 * followsEvent('7', '7'); // false
 * ```
 */
export function followsEvent(lastEvent: string | undefined, event: string | undefined): boolean {
	const [last, next] = [wholeNumber(lastEvent), wholeNumber(event)];
	return last === undefined || next === undefined || next > last;
}

/**
 * The events up to the first one that does not come after the one before it.
 *
 * @param lastEvent Id of the newest event that the caller has, if there is one.
 * @param events Events as they came.
 */
export function eventsInOrder<Event extends {id: string | undefined}>(lastEvent: string | undefined, events: readonly Event[]): Event[] {
	let newest = lastEvent;
	const end = events.findIndex(({id}) => {
		const follows = followsEvent(newest, id);
		newest = id ?? newest;
		return !follows;
	});
	return events.slice(0, end === -1 ? events.length : end);
}

function wholeNumber(text: string | undefined): number | undefined {
	return text !== undefined && /^\d{1,15}$/v.test(text) ? Number(text) : undefined;
}
