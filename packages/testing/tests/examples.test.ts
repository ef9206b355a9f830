import {readdir, readFile} from 'node:fs/promises';
import {fileURLToPath} from 'node:url';
import {loadEntryConfig} from '@tamarackwind/entry';
import {vmRecordSchema} from '@tamarackwind/clients';
import {parseJsonc, resolveSettings, settingsTreeSchema} from '@tamarackwind/settings';
import test from 'ava';
import * as z from 'zod';

const examplesFolder = fileURLToPath(new URL('../../../../examples/', import.meta.url));

const cases = [
	{deployment: 'fixture', services: ['league-north', 'league-south', 'league-east', 'league-west', 'office'], spare: 'office'},
	{
		deployment: 'notebook', services: ['cells', 'risk', 'datasets', 'refresh', 'shared'], spare: 'shared',
	},
];

for (const {deployment, services, spare} of cases) {
	test(`the example settings of ${deployment} hold five services in pools of 8 VMs with 8 slots and 64 connections`, async t => {
		const file = `${examplesFolder}settings/${deployment}.jsonc`;
		const settings = resolveSettings(parseJsonc(settingsTreeSchema, await readFile(file, 'utf8'), file), deployment, 1);
		t.deepEqual([...settings.services.keys()].map(String), services);
		for (const pool of settings.pools.values()) {
			t.deepEqual([pool.size, pool.slotsPerVm, pool.connectionsPerVm, pool.isSpare], [8, 8, 64, String(pool.name) === spare]);
		}
	});

	test(`the example entry configurations of ${deployment} describe nine entries in four zones`, async t => {
		const files = (await readdir(`${examplesFolder}${deployment}`)).filter(file => file.startsWith('entry-'));
		const configs = await Promise.all(files.map(async file => loadEntryConfig(`${examplesFolder}${deployment}/${file}`)));
		t.is(new Set(configs.map(config => config.entryId)).size, 9);
		t.is(new Set(configs.map(config => config.zone)).size, 4);
		t.true(configs.every(config => config.deployment === deployment));
	});

	test(`the example VM list of ${deployment} holds 40 workers, four to a rack, and 9 entries`, async t => {
		const vms = z.array(vmRecordSchema).parse(JSON.parse(await readFile(`${examplesFolder}${deployment}/vms.json`, 'utf8')));
		const racks = vms.filter(vm => vm.kind === 'worker').map(vm => vm.rack);
		t.is(racks.length, 40);
		t.is(new Set(racks).size, 10);
		t.is(vms.length, 49);
	});
}
