/**
 * Tables of text for people.
 *
 * @module
 */

/**
 * Writes rows as columns that line up; numbers stand to the right.
 *
 * @param headings Heading of each column.
 * @param rows Cells of each row, as many as there are headings.
 * @returns Lines of text without a trailing line break.
 * @example
 * ```ts
 * textTable(['host', 'version'], [['entry-1', 42]]);
 * ```
 */
export function textTable(headings: string[], rows: Array<Array<string | number>>): string {
	const widths = headings.map((heading, column) => Math.max(heading.length, ...rows.map(row => String(row[column]).length)));
	const line = (cells: Array<string | number>) => cells
		.map((cell, column) => typeof cell === 'number' ? String(cell).padStart(widths[column]!) : cell.padEnd(widths[column]!))
		.join('  ')
		.trimEnd();
	return [line(headings), ...rows.map(row => line(row))].join('\n');
}
