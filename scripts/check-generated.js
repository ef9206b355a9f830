/**
 * Generates the code of the peer protocol into a temporary folder and compares it with the committed code.
 */
import {execFileSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const peerFolder = fileURLToPath(new URL('../packages/peer', import.meta.url));
const generatedFile = 'src/gen/tamarackwind/peer/v1/peer.ts';
const folder = mkdtempSync(path.join(tmpdir(), 'tamarackwind-gen-'));
try {
	execFileSync('npx', ['buf', 'generate', '--output', folder], {cwd: peerFolder, stdio: 'inherit'});
	const fresh = readFileSync(path.join(folder, generatedFile), 'utf8');
	const committed = readFileSync(path.join(peerFolder, generatedFile), 'utf8');
	if (fresh !== committed) {
		console.error(`packages/peer/${generatedFile} does not match the .proto file; run "npm run generate"`);
		process.exitCode = 1;
	}
} finally {
	rmSync(folder, {recursive: true});
}
