/**
 * Reads a TAP file and KNOWN-RED.txt, prints the failures and, last, `N passed, N failed`.
 * A failure listed in KNOWN-RED.txt is printed, but counted as neither. Exit code 2 means that no test passed.
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';

const [tapFile, knownFile] = process.argv.slice(2);

/** Reads the titles from lines of the form `title | command and seed | what was seen | issue`. */
function readKnownTitles(file) {
	const lines = readFileSync(file, 'utf8').split('\n');
	return new Set(lines.filter(line => line.includes(' | ') && !line.startsWith('#')).map(line => line.split(' | ')[0].trim()));
}

function readResults(file) {
	const results = [];
	for (const line of readFileSync(file, 'utf8').split('\n')) {
		const found = /^(?<not>not )?ok \d+ - (?<title>.*?)(?: # (?<directive>\w+).*)?$/v.exec(line);
		if (found !== null) {
			results.push({isOk: found.groups.not === undefined, title: found.groups.title, directive: found.groups.directive});
		}
	}

	return results;
}

const known = readKnownTitles(knownFile);
const results = readResults(tapFile);
const failures = results.filter(result => !result.isOk);
const fresh = failures.filter(result => !known.has(result.title));
for (const {title} of failures) {
	console.log(known.has(title) ? `KNOWN RED: ${title}` : `FAILED: ${title}`);
}

for (const {title} of results.filter(result => result.directive !== undefined)) {
	console.log(`NOT RUN: ${title}`);
}

const passed = results.filter(result => result.isOk && result.directive === undefined).length;
console.log(`${passed} passed, ${fresh.length + (passed === 0 ? 1 : 0)} failed`);
process.exitCode = passed === 0 ? 2 : Math.min(fresh.length, 1);
