/**
 * Checks that events continue a stream.
 *
 * Guards against engines that repeat events, for example one that resumes from an earlier event than the caller's last one, and against
 * engines that write another response into the stream.
 *
 * @module
 */

/**
 * Returns whether an event comes after the last one that the caller received. Ids that are not whole numbers are not compared.
 *
 * @param lastEventId Id of the last event, if there is one.
 * @param eventId Id of the event, if it has one.
 * @example
 * ```ts
 * followsEvent('7', '8'); // true
 * followsEvent('7', '7'); // false
 * ```
 */
export function followsEvent(lastEventId: string | undefined, eventId: string | undefined): boolean {
	const [last, next] = [parseWholeNumber(lastEventId), parseWholeNumber(eventId)];
	return last === undefined || next === undefined || next > last;
}

/**
 * Returns the events before the first one that is out of order or has a line that belongs to no event.
 *
 * @param lastEventId Id of the last event that the caller received, if there is one.
 * @param events Events in the order of arrival.
 */
export function eventsInOrder<Event extends {id: string | undefined; hasForeignLine?: boolean}>(lastEventId: string | undefined, events: readonly Event[]): Event[] {
	let previousId = lastEventId;
	const end = events.findIndex(({id, hasForeignLine = false}) => {
		const follows = followsEvent(previousId, id);
		previousId = id ?? previousId;
		return !follows || hasForeignLine;
	});
	return events.slice(0, end === -1 ? events.length : end);
}

function parseWholeNumber(text: string | undefined): number | undefined {
	return text !== undefined && /^\d{1,15}$/v.test(text) ? Number(text) : undefined;
}
