import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {type ConfigurationFinding} from '@tamarackwind/workflows';
import test from 'ava';

const mainFile = fileURLToPath(import.meta.resolve('tamarackwind/main'));

type CommandOutput = {readonly code: number; readonly stdout: string; readonly stderr: string};

async function runCommand(folder: string, args: readonly string[]): Promise<CommandOutput> {
	return new Promise(resolve => {
		const child = execFile(process.execPath, [mainFile, 'settings', 'check', ...args], {cwd: folder}, (_error, stdout, stderr) => {
			resolve({code: child.exitCode ?? -1, stdout, stderr});
		});
	});
}

const secret = 'key-that-no-output-may-hold';
const longName = 'n'.repeat(250);

function createText(version: number, cpu: number, name = 'acme'): string {
	return JSON.stringify({
		version,
		tenants: [{name, apiKeys: [secret], cap: {cpu}}],
		routes: [{
			name: 'redraw', host: 'queue.example', pathPrefix: '/redraw/', service: 'north',
		}],
		services: [{name: 'north'}],
	});
}

const files: ReadonlyArray<readonly [name: string, text: string]> = [
	['current.json', createText(41, 8000)],
	['lower.json', createText(42, 4000)],
	['small.json', createText(42, 500)],
	['long.json', createText(42, 500, longName)],
	['invalid.json', createText(42, 500, '')],
	['broken.json', createText(42, 500).replace('}],', '}],,')],
	['tree.json', '{"deployments": {"fixture": {"pools": {"north": {"services": {"echo": {}}}}}}}'],
];

async function writeFiles(): Promise<string> {
	const folder = await mkdtemp(path.join(tmpdir(), 'tamarackwind-'));
	for (const [file, text] of files) {
		await writeFile(path.join(folder, file), text);
	}

	return folder;
}

type Case = {readonly name: string; readonly args: readonly string[]; readonly code: number; readonly stdout: RegExp; readonly stderr: RegExp};

const nothing = /^$/v;

const cases: readonly Case[] = [
	{
		name: 'a sound configuration', args: ['current.json'], code: 0, stdout: /^errors: 0, warnings: 0, notices: 0$/v, stderr: nothing,
	},
	{
		name: 'a lowered cap', args: ['lower.json', '--against', 'current.json'], code: 0, stdout: /^notice {2}tenants\.acme\.cap\.cpu: cap of account "acme" is lowered from 8000 to 4000 .*notices: 1$/sv, stderr: nothing,
	},
	{
		name: 'a warning', args: ['small.json'], code: 0, stdout: /^warning tenants\.0\.cap\.cpu: .*warnings: 1, notices: 0$/sv, stderr: nothing,
	},
	{
		name: 'a configuration that a link carries in time', args: ['current.json', '--link-mbps', '7'], code: 0, stdout: /^errors: 0, warnings: 0, notices: 0$/v, stderr: nothing,
	},
	{
		name: 'a configuration that a link does not carry in time', args: ['current.json', '--link-mbps', '0.001', '--bound-ms', '2000'], code: 0, stdout: /^warning routes: the configuration takes \d+ bytes .*warnings: 1, notices: 0$/sv, stderr: nothing,
	},
	{
		name: 'a name longer than a line', args: ['long.json', '--against', 'current.json'], code: 0, stdout: /nnn\n {8}nnn/v, stderr: nothing,
	},
	{
		name: 'an older version', args: ['current.json', '--against', 'lower.json'], code: 2, stdout: /^notice .*errors: 1/sv, stderr: /^error {3}version: version 41 is not above 42/v,
	},
	{
		name: 'an account without a name', args: ['invalid.json'], code: 2, stdout: /^errors: 1/v, stderr: /^error {3}tenants\.0\.name: /v,
	},
	{
		name: 'a syntax error', args: ['broken.json'], code: 2, stdout: /^errors: 1/v, stderr: /^error {3}not valid JSON: \w+ at line 1$/v,
	},
	{
		name: 'a syntax error in the other version', args: ['current.json', '--against', 'broken.json'], code: 2, stdout: /^errors: 1/v, stderr: /^error {3}version to compare with: not valid JSON/v,
	},
	{
		name: 'a settings tree in place of a configuration', args: ['tree.json', '--against', 'current.json'], code: 2, stdout: /^errors: 3/v, stderr: /error {3}version: .*error {3}routes: .*error {3}services: /sv,
	},
	{
		name: 'a settings tree', args: ['tree.json'], code: 0, stdout: /^\d+ keys are in order$/v, stderr: nothing,
	},
	{
		name: 'a settings tree, as JSON', args: ['tree.json', '--json'], code: 0, stdout: /^\{\n {2}"keys": \d+\n\}$/v, stderr: nothing,
	},
	{
		name: 'a directory against a file', args: ['.', '--against', 'current.json'], code: 2, stdout: nothing, stderr: /^"\." is a directory; --against compares two files$/v,
	},
	{
		name: 'a file that does not exist', args: ['none.json'], code: 1, stdout: nothing, stderr: /^ENOENT/v,
	},
];

// Guards against exit codes that let a script send an invalid configuration, keys in the output, and lines that a terminal breaks.
for (const {name, args, code, stdout, stderr} of cases) {
	test.serial(`settings check of ${name}`, async t => {
		const folder = await writeFiles();
		t.teardown(async () => rm(folder, {recursive: true}));

		const output = await runCommand(folder, args);
		t.regex(output.stdout.trim(), stdout);
		t.regex(output.stderr.trim(), stderr);
		t.is(output.code, code);
		const text = `${output.stdout}${output.stderr}`;
		t.false(text.includes(secret));
		t.true(text.split('\n').every(line => line.length <= 100));
	});
}

test.serial('settings check prints findings as JSON, and errors to standard error as well', async t => {
	const folder = await writeFiles();
	t.teardown(async () => rm(folder, {recursive: true}));

	const {code, stdout, stderr} = await runCommand(folder, ['current.json', '--against', 'lower.json', '--json']);
	t.is(code, 2);
	t.regex(stderr, /^error {3}version: /v);
	const findings = JSON.parse(stdout) as readonly ConfigurationFinding[];
	t.deepEqual(findings.map(({kind, severity, path}) => [kind, severity, path.join('.')]), [['version', 'error', 'version'], ['difference', 'notice', 'tenants.acme.cap.cpu']]);
	t.false(`${stdout}${stderr}`.includes(secret));
});
