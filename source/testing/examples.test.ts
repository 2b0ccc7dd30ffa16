import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import path from 'node:path';
import {test} from 'node:test';
import {findNodeAtLocation, parseTree} from 'jsonc-parser';
import {type z} from 'zod';
import {
	collectFiles, modelServiceSchema, plainServiceSchema, serviceFileSchema, workspaceSchema,
} from '../configuration/mod.ts';
import {
	lineOfField, parseDocument, routerSettingsSchema, type RouterSettings,
} from '../settings/mod.ts';

const examples = path.join(import.meta.dirname, '..', '..', 'examples');

/** The fields that have no default, with any values. */
const required = {
	hostName: 'host',
	availabilityZone: 'zone',
	callers: {listen: '127.0.0.1:1', cursorKeys: ['sixteen-characters']},
	peers: {listen: '127.0.0.1:1', key: 'sixteen-characters'},
	operators: {listen: '127.0.0.1:1', key: 'sixteen-characters'},
	platform: {url: 'http://127.0.0.1'},
};

for (const user of ['brushwake', 'heladeria']) {
	test(`the example of ${user} passes its schemas, and no two of its files contradict each other`, async () => {
		const files = await collectFiles([path.join(examples, user)]);
		const collected = files._unsafeUnwrap();
		assert.equal(collected.filter(({kind}) => kind === 'service').length, 2);
		const workspaces = collected.flatMap(file => file.kind === 'workspaces' ? file.workspaces : []);
		assert.equal(workspaces.length, 10);
		const {text} = await readSettings(user);
		assert.ok(parseDocument(text, 'router.jsonc', routerSettingsSchema).isOk());
	});

	test(`the settings of ${user} name every field, and every default in the comment above it`, async () => {
		const {text, root} = await readSettings(user);
		const defaults = routerSettingsSchema.parse(required);
		for (const {fieldPath, value} of leavesOf(defaults)) {
			const field = fieldPath.join('.');
			assert.ok(findNodeAtLocation(root, fieldPath), `${user}/router.jsonc does not name ${field}`);
			if (!isRequired(fieldPath)) {
				const comment = commentAbove(text, lineOfField(text, fieldPath));
				assert.ok(comment.includes(`Default ${JSON.stringify(value)}.`), `the comment above ${field} does not give the default ${JSON.stringify(value)}`);
			}
		}
	});

	test(`the services of ${user} name every field of their schemas`, async () => {
		const files = await collectFiles([path.join(examples, user)]);
		for (const file of files._unsafeUnwrap()) {
			const text = await readFile(file.file, 'utf8');
			const fields = file.kind === 'workspaces' ? fieldsOf(workspaceSchema) : fieldsOfService(file.service.kind);
			for (const field of fields) {
				assert.ok(text.includes(`"${field}":`), `${file.file} does not name ${field}`);
			}
		}
	});
}

test('a service file of each kind has its defaults in the comments of an example', async () => {
	for (const [user, kind, name] of [['brushwake', 'model', 'painting-briefs'], ['heladeria', 'plain', 'ordering']] as const) {
		const text = await readFile(path.join(examples, user, name, `${name}.service.jsonc`), 'utf8');
		const defaults = serviceFileSchema.parse({service: 'any', kind, ...(kind === 'model' && {model: {name: 'any', version: 'any'}})});
		for (const {fieldPath, value} of leavesOf(defaults)) {
			if (!['service', 'kind', 'model'].includes(fieldPath[0]!) && !Array.isArray(value)) {
				const comment = commentAbove(text, lineOfField(text, fieldPath));
				assert.ok(comment.includes(`Default ${JSON.stringify(value)}.`), `${name}: ${fieldPath.join('.')}`);
			}
		}
	}
});

async function readSettings(user: string) {
	const text = await readFile(path.join(examples, user, 'router.jsonc'), 'utf8');
	return {text, root: parseTree(text)!};
}

type Leaf = {fieldPath: string[]; value: unknown};

/** Lists the fields that hold no further fields. */
function leavesOf(value: RouterSettings | Record<string, unknown>, prefix: string[] = []): Leaf[] {
	return Object.entries(value).flatMap(([name, content]: [string, unknown]) => {
		const fieldPath = [...prefix, name];
		return typeof content === 'object' && content !== null && !Array.isArray(content)
			? leavesOf(content as Record<string, unknown>, fieldPath)
			: [{fieldPath, value: content}];
	});
}

function isRequired(fieldPath: string[]): boolean {
	let value: unknown = required;
	for (const name of fieldPath) {
		value = (value as Record<string, unknown> | undefined)?.[name];
	}

	return value !== undefined;
}

/** Returns the comment that ends on the line before a field, as one line. */
function commentAbove(text: string, line: number): string {
	const lines = text.split('\n').map(each => each.trim()).slice(0, line - 1);
	const first = lines.findLastIndex(each => !each.startsWith('//')) + 1;
	return lines.slice(first).map(each => each.slice('//'.length).trim()).join(' ');
}

function fieldsOf(schema: z.ZodObject): string[] {
	return Object.keys(schema.shape);
}

function fieldsOfService(kind: 'model' | 'plain'): string[] {
	if (kind === 'plain') {
		return fieldsOf(plainServiceSchema);
	}

	const {model, recovery} = modelServiceSchema.shape;
	return [...fieldsOf(modelServiceSchema), ...fieldsOf(model), ...fieldsOf(recovery.unwrap())];
}
