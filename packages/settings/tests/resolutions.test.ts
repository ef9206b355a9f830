import {type PoolName, type ServiceName} from '@tamarackwind/core';
import test from 'ava';
import {
	parseJsonc, resolveSettings, safeParseJsonc, settingsTreeSchema,
} from '../src/index.js';

const text = `{
	// Every service waits at most this long.
	"service": {"deadlineMs": 1000},
	"deployments": {
		"fixture": {
			"service": {"maxAttempts": 2},
			"pools": {
				"north": {"budget": {"maxUnavailable": 3}, "service": {"deadlineMs": 2000}, "services": {"build": {}, "redraw": {"deadlineMs": 3000}}},
				"south": {"services": {"publish": {}}},
			},
		},
	},
}`;

const cases = [
	{service: 'publish', deadlineMs: 1000, maxAttempts: 2},
	{service: 'build', deadlineMs: 2000, maxAttempts: 2},
	{service: 'redraw', deadlineMs: 3000, maxAttempts: 2},
];

for (const {service, deadlineMs, maxAttempts} of cases) {
	test(`${service} inherits from the nearest node that sets a value`, t => {
		const settings = resolveSettings(parseJsonc(settingsTreeSchema, text, 'a.jsonc'), 'fixture', 1);
		const resolved = settings.services.get(service as ServiceName);
		t.is(resolved?.deadlineMs, deadlineMs);
		t.is(resolved?.maxAttempts, maxAttempts);
	});
}

test('an override of one key of a budget keeps the others', t => {
	const settings = resolveSettings(parseJsonc(settingsTreeSchema, text, 'a.jsonc'), 'fixture', 1);
	t.deepEqual(settings.pools.get('north' as PoolName)?.budget, {maxUnavailable: 3, maxZones: 1, maxPerRack: 4});
});

test('an issue names its file, line and path', t => {
	const result = safeParseJsonc(settingsTreeSchema, text.replace('"deadlineMs": 3000', '"deadlineMs": -1'), 'a.jsonc');
	t.false(result.success);
	if (!result.success) {
		t.regex(result.error.message, /^a\.jsonc:8: deployments\.fixture\.pools\.north\.services\.redraw\.deadlineMs: /v);
	}
});
