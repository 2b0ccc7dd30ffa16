/**
 * Dispatch of values by their kind.
 *
 * @module
 */

/** One handler for each kind of a value. */
export type KindHandlers<Value extends {kind: string}> = {[Kind in Value['kind']]: (value: Extract<Value, {kind: Kind}>) => void};

/**
 * Calls the handler for the kind of a value.
 *
 * @param value The value.
 * @param handlers The handlers; the compiler requires one for each kind.
 * @example
 * ```ts
 * handleKind(outcome, {held: ({since}) => renew(since), failed: ({reason}) => retry(reason)});
 * ```
 */
export function handleKind<Value extends {kind: string}>(value: Value, handlers: KindHandlers<Value>): void {
	const {kind}: {kind: Value['kind']} = value;
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The compiler does not relate the kind of the value to that of the handler.
	const handler = handlers[kind] as (value: Value) => void;
	handler(value);
}
