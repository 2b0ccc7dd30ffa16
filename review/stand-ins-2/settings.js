/**
 * Fills in the settings template of the deploy file, as the platform does.
 */
const token = /\{\{(?<sign>[#^\/]?)(?<name>[^\}]+)\}\}/gv;

/** Splits a template into texts, values and sections. */
function parse(template) {
	const root = {parts: []};
	const open = [root];
	let end = 0;
	for (const match of template.matchAll(token)) {
		const {sign, name} = match.groups;
		open.at(-1).parts.push(template.slice(end, match.index));
		end = match.index + match[0].length;
		if (sign === '/') {
			open.pop();
		} else if (sign === '') {
			open.at(-1).parts.push({name, sign});
		} else {
			const section = {name, sign, parts: []};
			open.at(-1).parts.push(section);
			open.push(section);
		}
	}

	root.parts.push(template.slice(end));
	return root;
}

function lookUp(name, scopes) {
	if (name === '.') {
		return scopes.at(-1);
	}

	for (const scope of scopes.toReversed()) {
		let value = scope;
		for (const word of name.split('.')) {
			value = value === null || typeof value !== 'object' ? undefined : value[word];
		}

		if (value !== undefined && value !== null) {
			return value;
		}
	}

	return undefined;
}

function renderSection({name, sign, parts}, scopes) {
	const value = lookUp(name, scopes);
	const isAbsent = value === undefined || value === false;
	if (sign === '^') {
		return isAbsent ? renderParts(parts, scopes, false) : '';
	}

	if (isAbsent) {
		return '';
	}

	const entries = Array.isArray(value) ? value : [value];
	return entries.map((entry, index) => renderParts(parts, [...scopes, entry], index < entries.length - 1)).join('');
}

function renderParts(parts, scopes, hasNext) {
	return parts.map(part => {
		if (typeof part === 'string') {
			return part;
		}

		if (part.parts) {
			return renderSection(part, scopes);
		}

		if (part.name === ',') {
			return hasNext ? ',' : '';
		}

		return String(lookUp(part.name, scopes) ?? '');
	}).join('');
}

/**
 * @param {string} template Text of the template.
 * @param {Record<string, unknown>} fields Fields of the platform.
 * @returns {string} The settings of a process.
 */
export function fillIn(template, fields) {
	return renderParts(parse(template).parts, [fields], false);
}
