/**
 * Formats plain-text tables.
 *
 * @module
 */

/**
 * Formats rows as aligned columns; numbers are right-aligned.
 *
 * @param headings Heading of each column.
 * @param rows Cells of each row, one per heading.
 * @returns The table without a trailing line break.
 * @example
 * ```ts
 * formatTextTable(['host', 'version'], [['entry-1', 42]]);
 * ```
 */
export function formatTextTable(headings: string[], rows: Array<Array<string | number>>): string {
	const widths = headings.map((heading, column) => Math.max(heading.length, ...rows.map(row => String(row[column]).length)));
	const line = (cells: Array<string | number>) => cells
		.map((cell, column) => typeof cell === 'number' ? String(cell).padStart(widths[column]!) : cell.padEnd(widths[column]!))
		.join('  ')
		.trimEnd();
	return [line(headings), ...rows.map(row => line(row))].join('\n');
}
