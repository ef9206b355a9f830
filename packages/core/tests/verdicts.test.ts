import test from 'ava';
import {isRetryable, type Verdict} from '../src/index.js';

const cases: Array<{verdict: Verdict; isIdempotent: boolean; expected: boolean}> = [
	{verdict: 'not-run', isIdempotent: false, expected: true},
	{verdict: 'not-run', isIdempotent: true, expected: true},
	{verdict: 'may-have-run', isIdempotent: false, expected: false},
	{verdict: 'may-have-run', isIdempotent: true, expected: true},
	{verdict: 'ran', isIdempotent: true, expected: false},
];

for (const {verdict, isIdempotent, expected} of cases) {
	test(`retry after ${verdict}, idempotent ${isIdempotent}`, t => {
		t.is(isRetryable(verdict, isIdempotent), expected);
	});
}
