import {readFile, readdir} from 'node:fs/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import test from 'ava';

const packagesFolder = fileURLToPath(new URL('../../..', import.meta.url));

/** Packages in import order: each may import only the packages before it. */
const importOrder = ['core', 'settings', 'clients', 'peer', 'routing', 'admission', 'fleet', 'jobs', 'scheduling', 'workflows', 'entry', 'cli', 'testing'];

async function listImports(name: string): Promise<string[]> {
	const folder = path.join(packagesFolder, name);
	const files = await readdir(path.join(folder, 'src'), {recursive: true});
	const texts = await Promise.all(files.filter(file => file.endsWith('.ts')).map(async file => readFile(path.join(folder, 'src', file), 'utf8')));
	return texts.flatMap(text => [...text.matchAll(/from '(?<source>@tamarackwind\/\w+|tamarackwind)'/gv)].map(match => match.groups!.source!));
}

for (const [index, name] of importOrder.entries()) {
	test(`package ${name} imports only packages before it`, async t => {
		const allowed = new Set(importOrder.slice(0, index).map(allowedName => allowedName === 'cli' ? 'tamarackwind' : `@tamarackwind/${allowedName}`));
		const imports = await listImports(name);
		t.deepEqual(imports.filter(source => !allowed.has(source)), []);
	});
}

test('the import order lists every package', async t => {
	t.deepEqual((await readdir(packagesFolder)).toSorted(), importOrder.toSorted());
});
