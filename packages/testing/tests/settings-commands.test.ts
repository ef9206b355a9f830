import {execFile} from 'node:child_process';
import {mkdtemp, mkdir, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import test from 'ava';
import {Cluster, operatorToken} from '../src/index.js';

const mainFile = fileURLToPath(import.meta.resolve('tamarackwind/main'));

type CommandOutput = {readonly code: number; readonly stdout: string; readonly stderr: string};

async function runCommand(args: readonly string[]): Promise<CommandOutput> {
	return new Promise(resolve => {
		const child = execFile(process.execPath, [mainFile, ...args], (_error, stdout, stderr) => {
			resolve({code: child.exitCode ?? -1, stdout, stderr});
		});
	});
}

async function writeFiles(files: ReadonlyArray<readonly [name: string, text: string]>): Promise<string> {
	const folder = await mkdtemp(path.join(tmpdir(), 'tamarackwind-'));
	for (const [name, text] of files) {
		await mkdir(path.dirname(path.join(folder, name)), {recursive: true});
		await writeFile(path.join(folder, name), text);
	}

	return folder;
}

const rootSettings = '{\n\t// Values of all.\n\t"service": {"maxAttempts": 2}\n}';
const poolSettings = '{"deployments": {"fixture": {"pools": {"north": {"services": {"echo": {}}}}}}}';

type CheckCase = {readonly name: string; readonly files: ReadonlyArray<readonly [name: string, text: string]>; readonly code: number; readonly pattern: RegExp};

const checkCases: readonly CheckCase[] = [
	{
		name: 'an unknown key', files: [['a.jsonc', rootSettings], ['b.jsonc', poolSettings.replace('"echo": {}', '"echo": {"deadlinMs": 5}')]], code: 2, pattern: /b\.jsonc:1: .*unknown key "deadlinMs"; did you mean "deadlineMs"\?/v,
	},
	{
		name: 'a value that two files set', files: [['a.jsonc', rootSettings], ['b.jsonc', rootSettings], ['c.jsonc', poolSettings]], code: 2, pattern: /b\.jsonc:3: service\.maxAttempts: value stands in .*a\.jsonc:3 already/v,
	},
	{
		name: 'an unknown team', files: [['a.jsonc', poolSettings.replace('{"pools"', '{"callers": {"c": {"tokenHashes": [], "team": "blue"}}, "teams": {"blues": {"cores": 1, "memoryMb": 1, "accelerators": 0}}, "pools"')]], code: 2, pattern: /team "blue" does not exist; did you mean "blues"\?/v,
	},
	{
		name: 'a budget that can\'t be met', files: [['a.jsonc', poolSettings.replace('"services"', '"size": 8, "budget": {"maxUnavailable": "10%"}, "services"')]], code: 2, pattern: /budget of pool "north" lets no VM out/v,
	},
	{
		name: 'a syntax error', files: [['a.jsonc', '{\n"service": }']], code: 2, pattern: /a\.jsonc:2: ValueExpected/v,
	},
	{
		name: 'nothing', files: [['a.jsonc', rootSettings], ['sub/b.jsonc', poolSettings]], code: 0, pattern: /^$/v,
	},
];

for (const {name, files, code, pattern} of checkCases) {
	test(`settings check finds ${name}`, async t => {
		const output = await runCommand(['settings', 'check', await writeFiles(files)]);
		t.is(output.code, code);
		t.regex(output.stderr.trim(), pattern);
	});
}

test('the command line tool applies, explains, compares, rolls back and audits settings', async t => {
	const tree = {deployments: {fixture: {pools: {north: {services: {echo: {}}}}}}};
	const cluster = await Cluster.create({tree, workers: {north: 1}, entries: 1});
	t.teardown(async () => cluster.close());
	const folder = await writeFiles([['settings/a.jsonc', rootSettings], ['settings/b.jsonc', poolSettings], ['token', operatorToken]]);
	const operatorArgs = ['--entry', cluster.entries[0]!.getUrl('operator'), '--token-file', path.join(folder, 'token')];
	const directory = path.join(folder, 'settings');
	const run = async (...args: string[]): Promise<CommandOutput> => runCommand([...args, ...operatorArgs]);

	t.regex((await run('settings', 'diff', directory)).stdout, /service +\{"maxAttempts":2\}/v);
	t.like(JSON.parse((await run('settings', 'apply', directory, '--base', '1', '--dry-run', '--json')).stdout), {status: 'checked', version: 1});
	t.like(JSON.parse((await run('settings', 'apply', directory, '--base', '1', '--change', 'c-1', '--why', 'more tries', '--json')).stdout), {status: 'in-force', version: 2});
	t.is((await run('settings', 'apply', await writeFiles([['a.jsonc', poolSettings]]), '--base', '1')).code, 3);

	const explained = JSON.parse((await run('settings', 'explain', 'deployments.fixture.pools.north.services.echo', '--json')).stdout) as Array<Record<string, unknown>>;
	t.like(explained, [{
		path: 'deployments.fixture.pools.north.services.echo.maxAttempts', value: 2, from: 'service.maxAttempts', file: `${path.join(directory, 'a.jsonc')}:3`, operator: 'bootstrap', version: 2,
	}]);

	const treeWithoutNorth = await writeFiles([['a.jsonc', poolSettings.replace('north', 'south')]]);
	const refused = await run('settings', 'apply', treeWithoutNorth, '--base', '2');
	t.is(refused.code, 2);
	t.regex(refused.stderr, /pool "north" still holds 1 VMs/v);

	t.is((await run('settings', 'rollback', '1', '--base', '2')).code, 0);
	t.regex((await run('settings', 'show')).stdout, /"version": 3/v);
	t.regex((await run('settings', 'history')).stdout, /more tries/v);
	const records = JSON.parse((await run('audit', '--json')).stdout) as Array<{outcome: string; action: string}>;
	t.deepEqual(records.map(({action, outcome}) => `${action} ${outcome}`), ['settings.rollback accepted', 'settings.apply refused', 'settings.apply conflict', 'settings.apply accepted']);
	t.regex((await run('audit', '--verify')).stdout, /^4 records/v);
	t.regex((await run('status')).stdout, /entry-1 +true +3/v);

	const [row] = await cluster.platform.tables.scanRows('audit');
	await cluster.platform.tables.commit({checks: [], writes: [{...row!, value: {...row!.value as Record<string, unknown>, operator: 'someone'}}]});
	const verification = await run('audit', '--verify');
	t.is(verification.code, 1);
	t.regex(verification.stderr, /record 1 was edited/v);
});
