import test from 'ava';
import {ManualClock} from '@tamarackwind/core';
import {ReceiptSigner} from '../src/index.js';

const key = Buffer.alloc(32, 'k');
const subject = {claimKey: 'claim', requestHash: 'request'};

const cases: Array<{title: string; verify: (signer: ReceiptSigner, receipt: string) => number | undefined; expected: number | undefined}> = [
	{title: 'a valid receipt', verify: (signer, receipt) => signer.verify(subject, receipt), expected: 3},
	{title: 'a receipt of another entry with the same key', verify: (_, receipt) => ReceiptSigner.create(key, ManualClock.create()).verify(subject, receipt), expected: 3},
	{title: 'a receipt signed with another key', verify: (_, receipt) => ReceiptSigner.create(Buffer.alloc(32, 'x'), ManualClock.create()).verify(subject, receipt), expected: undefined},
	{title: 'a receipt of another request', verify: (signer, receipt) => signer.verify({...subject, requestHash: 'other'}, receipt), expected: undefined},
	{title: 'a receipt of another caller', verify: (signer, receipt) => signer.verify({...subject, claimKey: 'other'}, receipt), expected: undefined},
	{title: 'a receipt with a changed attempt number', verify: (signer, receipt) => signer.verify(subject, receipt.replace('v1.3', 'v1.4')), expected: undefined},
	{title: 'a receipt with a later expiry', verify: (signer, receipt) => signer.verify(subject, receipt.replace('.1000.', '.9000.')), expected: undefined},
	{title: 'an expired receipt', verify: (_, receipt) => ReceiptSigner.create(key, ManualClock.create(1000)).verify(subject, receipt), expected: undefined},
	{title: 'no receipt', verify: signer => signer.verify(subject, undefined), expected: undefined},
	{title: 'a malformed receipt', verify: signer => signer.verify(subject, 'v1.3'), expected: undefined},
];

for (const {title, verify, expected} of cases) {
	test(`${title} proves ${expected === undefined ? 'nothing' : `attempt ${expected}`}`, t => {
		const signer = ReceiptSigner.create(key, ManualClock.create());
		t.is(verify(signer, signer.sign(subject, 3, 1000)), expected);
	});
}
