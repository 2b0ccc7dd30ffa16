/**
 * Reads JSON with comments, validates it against a schema and reports every fault with its file, line and field.
 *
 * @module
 */
import {readFile} from 'node:fs/promises';
import {
	findNodeAtLocation, parse, parseTree, printParseErrorCode, type Node, type ParseError,
} from 'jsonc-parser';
import {
	err, ok, type Result,
} from 'neverthrow';
import {type z} from 'zod';

/** Path to a field: field names and list indexes. */
export type FieldPath = Array<string | number>;

/** One fault of a document. */
export type DocumentFault = {
	/** Name of the file. */
	file: string;
	/** Line of the fault, from 1. */
	line: number;
	/** Path of the field, such as `callers.port`; empty for the whole document. */
	field: string;
	/** Description of the fault. */
	message: string;
};

/**
 * Formats a fault in the style of compiler messages.
 *
 * @param fault The fault.
 * @returns One line of text.
 * @example
 * ```ts
 * formatFault({file: 'a.jsonc', line: 3, field: 'port', message: 'expected number'});
 * // 'a.jsonc:3: port: expected number'
 * ```
 */
export function formatFault(fault: DocumentFault): string {
	const field = fault.field === '' ? '' : `${fault.field}: `;
	return `${fault.file}:${fault.line}: ${field}${fault.message}`;
}

/**
 * Parses and validates a document; reports all of its faults at once.
 *
 * @param text The document.
 * @param file Name of the file for messages.
 * @param schema Schema of the content.
 * @returns The content with defaults applied, or every fault.
 * @example
 * ```ts
 * const settings = parseDocument(text, 'router.jsonc', routerSettingsSchema);
 * ```
 */
export function parseDocument<Schema extends z.ZodType>(text: string, file: string, schema: Schema): Result<z.output<Schema>, DocumentFault[]> {
	const parseErrors: ParseError[] = [];
	const content: unknown = parse(text, parseErrors, {allowTrailingComma: true});
	if (parseErrors.length > 0) {
		return err(parseErrors.map(parseError => ({
			file, line: lineAt(text, parseError.offset), field: '', message: `not valid JSON: ${printParseErrorCode(parseError.error)}`,
		})));
	}

	const checked = schema.safeParse(content);
	if (checked.success) {
		return ok(checked.data);
	}

	const faults = checked.error.issues.flatMap(issue => issueToFaults(issue));
	return err(faults.map(({path, message}) => ({
		file, line: lineOfField(text, path), field: path.join('.'), message,
	})));
}

/**
 * Returns the line of a field, or of its nearest existing ancestor.
 *
 * @param text The document, valid JSON with comments.
 * @param path Path to the field.
 * @returns The line, from 1.
 * @example
 * ```ts
 * lineOfField('{\n\t"port": 80\n}', ['port']); // 2
 * ```
 */
export function lineOfField(text: string, path: FieldPath): number {
	return lineAt(text, offsetOf(parseTree(text, [], {allowTrailingComma: true}), path));
}

/**
 * Reads a file and validates it with {@linkcode parseDocument}.
 *
 * @param file Path of the file.
 * @param schema Schema of the content.
 * @returns The content with defaults applied, or every fault; an unreadable file is one fault.
 * @example
 * ```ts
 * const settings = await readDocument('router.jsonc', routerSettingsSchema);
 * ```
 */
export async function readDocument<Schema extends z.ZodType>(file: string, schema: Schema): Promise<Result<z.output<Schema>, DocumentFault[]>> {
	try {
		return parseDocument(await readFile(file, 'utf8'), file, schema);
	} catch (error) {
		return err([{
			file, line: 1, field: '', message: `cannot be read: ${String(error)}`,
		}]);
	}
}

/** Converts a schema issue into faults; each unknown field becomes a separate fault. */
function issueToFaults(issue: z.core.$ZodIssue): Array<{path: FieldPath; message: string}> {
	const path = issue.path.map(part => typeof part === 'symbol' ? String(part) : part);
	return issue.code === 'unrecognized_keys'
		? issue.keys.map(key => ({path: [...path, key], message: 'unknown field'}))
		: [{path, message: issue.message}];
}

function lineAt(text: string, offset: number): number {
	return text.slice(0, offset).split('\n').length;
}

/** Returns the offset of a field, or of its nearest existing ancestor. */
function offsetOf(root: Node | undefined, path: FieldPath): number {
	if (!root) {
		return 0;
	}

	for (let {length} = path; length > 0; length--) {
		const node = findNodeAtLocation(root, path.slice(0, length));
		if (node) {
			return node.parent?.type === 'property' ? node.parent.offset : node.offset;
		}
	}

	return root.offset;
}
