/**
 * Messages of the platform's transactional table service, as the client sends and reads them.
 *
 * @module
 */
import * as z from 'zod';

/** A row's key within its table. */
export const rowKeySchema = z.object({table: z.string(), key: z.string()});

/** Condition under which a write takes effect. */
export const conditionSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('always')}),
	z.object({kind: z.literal('absent')}),
	z.object({kind: z.literal('revision'), revision: z.number().int()}),
]);

/** One write of a transaction; `check` only tests its condition. */
export const operationSchema = z.discriminatedUnion('kind', [
	rowKeySchema.extend({kind: z.literal('put'), value: z.unknown(), condition: conditionSchema}),
	rowKeySchema.extend({kind: z.literal('delete'), condition: conditionSchema}),
	rowKeySchema.extend({kind: z.literal('check'), condition: conditionSchema}),
]);

/** A row as read; `revision` increases with each write of the row. */
export const rowSchema = rowKeySchema.extend({value: z.unknown(), revision: z.number().int()});

/** Body of `POST /table/transact`; the response is 200, or 409 with {@linkcode conflictSchema}. */
export const transactSchema = z.object({operations: z.array(operationSchema).min(1).max(100)});

/** Body of a 409 response: index of the operation whose condition did not hold. */
export const conflictSchema = z.object({conflict: z.number().int()});

/** Body of `POST /table/read`; the response lists the rows that exist. */
export const readSchema = z.object({keys: z.array(rowKeySchema).max(100)});

/** Body of `POST /table/list`: the rows of a table whose key has a prefix and sorts after a given key, sorted by key. */
export const listSchema = z.object({
	table: z.string(), prefix: z.string(), after: z.string().optional(), limit: z.number().int().positive().max(1000),
});

/** Response of `POST /table/read` and `POST /table/list`. */
export const rowsSchema = z.object({rows: z.array(rowSchema)});

/** A row's key within its table. */
export type RowKey = z.infer<typeof rowKeySchema>;

/** Condition under which a write takes effect. */
export type Condition = z.infer<typeof conditionSchema>;

/** One write of a transaction. */
export type Operation = z.infer<typeof operationSchema>;

/** A row as read. */
export type Row = z.infer<typeof rowSchema>;

/** Body of a list request. */
export type ListRequest = z.infer<typeof listSchema>;
