/**
 * Reads a TAP file and KNOWN-RED.txt, prints the failures and, last, `N passed, N failed`.
 * A failure listed in KNOWN-RED.txt is printed by its title, but counted as neither; any other one with its diagnostics.
 * Exit code 2 means that no test passed.
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';

const [tapFile, knownFile] = process.argv.slice(2);
/** Maximum number of lines printed of the diagnostics of one failure: a comparison of large values has thousands. */
const maxDiagnosticLines = 40;

/** Reads the titles from lines of the form `title | command and seed | what was seen | issue`. */
function readKnownTitles(file) {
	const lines = readFileSync(file, 'utf8').split('\n');
	return new Set(lines.filter(line => line.includes(' | ') && !line.startsWith('#')).map(line => line.split(' | ')[0].trim()));
}

/** Reads the results, each with the lines that the test logged and the indented block that ava writes behind it. */
function readResults(file) {
	const results = [];
	for (const line of readFileSync(file, 'utf8').split('\n')) {
		const found = /^(?<not>not )?ok \d+ - (?<title>.*?)(?: # (?<directive>\w+).*)?$/v.exec(line);
		if (found !== null) {
			results.push({
				isOk: found.groups.not === undefined, title: found.groups.title, directive: found.groups.directive, diagnostics: [],
			});
		} else if (/^#? {2}/v.test(line)) {
			results.at(-1)?.diagnostics.push(line);
		}
	}

	return results;
}

function printDiagnostics(lines) {
	for (const line of lines.slice(0, maxDiagnosticLines)) {
		console.log(line);
	}

	if (lines.length > maxDiagnosticLines) {
		console.log(`  (${lines.length - maxDiagnosticLines} more lines in ${tapFile})`);
	}
}

const known = readKnownTitles(knownFile);
const results = readResults(tapFile);
const failures = results.filter(result => !result.isOk);
const fresh = failures.filter(result => !known.has(result.title));
for (const {title, diagnostics} of failures) {
	console.log(known.has(title) ? `KNOWN RED: ${title}` : `FAILED: ${title}`);
	if (!known.has(title)) {
		printDiagnostics(diagnostics);
	}
}

for (const {title} of results.filter(result => result.directive !== undefined)) {
	console.log(`NOT RUN: ${title}`);
}

const passed = results.filter(result => result.isOk && result.directive === undefined).length;
console.log(`${passed} passed, ${fresh.length + (passed === 0 ? 1 : 0)} failed`);
process.exitCode = passed === 0 ? 2 : Math.min(fresh.length, 1);
