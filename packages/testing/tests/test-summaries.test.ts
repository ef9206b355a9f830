import {spawnSync} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import test from 'ava';

const script = fileURLToPath(new URL('../../../../scripts/summarize-tests.js', import.meta.url));
const known = 'known one | npm test | seen once | issue 1\n';
const diagnostics = ['#   logged by the test', '  ---', '    name: AssertionError', '    message: \'not ok 7 - quoted\'', '  ...'];
const longDiagnostics = Array.from({length: 45}, (_, index) => `  line ${index + 1}`);

type SummaryCase = {readonly name: string; readonly tap: readonly string[]; readonly printed: readonly string[]; readonly exitCode: number};

const cases: readonly SummaryCase[] = [
	{
		name: 'a failure that is not listed is printed with its diagnostics',
		tap: ['ok 1 - sound', 'not ok 2 - new one', ...diagnostics, 'ok 3 - other', '#   logged by a sound test'],
		printed: ['FAILED: new one', ...diagnostics, '2 passed, 1 failed'],
		exitCode: 1,
	},
	{
		name: 'a listed failure is printed by its title and not counted',
		tap: ['not ok 1 - known one', ...diagnostics, 'ok 2 - sound'],
		printed: ['KNOWN RED: known one', '1 passed, 0 failed'],
		exitCode: 0,
	},
	{
		name: 'long diagnostics are cut, and the number of lines left out is printed',
		tap: ['ok 1 - sound', 'not ok 2 - new one', ...longDiagnostics],
		printed: ['FAILED: new one', ...longDiagnostics.slice(0, 40), '  (5 more lines in tests.tap)', '1 passed, 1 failed'],
		exitCode: 1,
	},
	{
		name: 'a run without a passed test fails',
		tap: ['TAP version 13'],
		printed: ['0 passed, 1 failed'],
		exitCode: 2,
	},
];

// Guards against a failure of CI whose reason is lost, since only titles are printed.
for (const {name, tap, printed, exitCode} of cases) {
	test(name, async t => {
		const folder = await mkdtemp(path.join(tmpdir(), 'tamarackwind-'));
		t.teardown(async () => rm(folder, {recursive: true}));
		await writeFile(path.join(folder, 'tests.tap'), tap.join('\n'));
		await writeFile(path.join(folder, 'known.txt'), known);
		const {stdout, status} = spawnSync(process.execPath, [script, 'tests.tap', 'known.txt'], {cwd: folder, encoding: 'utf8'});
		t.deepEqual(stdout.trimEnd().split('\n'), [...printed]);
		t.is(status, exitCode);
	});
}
