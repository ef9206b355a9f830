import {execFile} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import test from 'ava';

const root = fileURLToPath(new URL('../../../../', import.meta.url));

type Case = {readonly name: string; readonly words: readonly string[]; readonly output: RegExp};

const cases: readonly Case[] = [
	{name: 'checks the settings of the examples', words: ['settings', 'check', 'examples/settings'], output: /./v},
	{name: 'lists its commands', words: ['--help'], output: /settings[\s\S]*vm/v},
];

for (const {name, words, output} of cases) {
	// Guards against a command that npm does not link, since its target does not exist at the install.
	test(`npx tamarackwind ${name}`, async t => {
		const {code, stdout, stderr} = await new Promise<{readonly code: number | undefined; readonly stdout: string; readonly stderr: string}>(resolve => {
			const child = execFile('npx', ['--no-install', 'tamarackwind', ...words], {cwd: root}, (_error, stdoutText, stderrText) => {
				resolve({code: child.exitCode ?? undefined, stdout: stdoutText, stderr: stderrText});
			});
		});
		t.is(code, 0, `standard error: ${stderr}`);
		t.regex(stdout, output);
	});
}
