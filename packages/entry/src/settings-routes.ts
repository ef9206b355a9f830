/**
 * Operator routes for the settings tree and the audit trail.
 */
import {VerdictError, isId, type ChangeId} from '@tamarackwind/core';
import {
	findValue, isPlainObject, listLeaves, parseTreePath, type TreePath,
} from '@tamarackwind/settings';
import {Hono} from 'hono';
import {match} from 'ts-pattern';
import * as z from 'zod';
import {type AuditLog} from './audits.js';
import {type OperatorContext, type OperatorEnv} from './operator-identities.js';
import {type SettingsChanges, type SettingsOutcome} from './settings-changes.js';
import {type SettingsStore} from './settings-stores.js';

export type SettingsRoutesOptions = {
	readonly store: SettingsStore;
	readonly changes: SettingsChanges;
	readonly audit: AuditLog;
};

const requestSchema = z.strictObject({
	changeId: z.string().refine(isId, 'expected letters, digits, "_", ".", ":" and "-"'),
	baseVersion: z.number().int().nonnegative(),
	tree: z.unknown(),
	places: z.record(z.string(), z.strictObject({file: z.string(), line: z.number().int()})).optional(),
	why: z.string().max(1000).optional(),
	isRebased: z.boolean().optional(),
	isDryRun: z.boolean().optional(),
});

const rollbackSchema = requestSchema.omit({tree: true, places: true, isRebased: true}).extend({toVersion: z.number().int().positive()});

const auditQuerySchema = z.object({
	path: z.string().optional(),
	operator: z.string().optional(),
	since: z.coerce.number().optional(),
	until: z.coerce.number().optional(),
	limit: z.coerce.number().int().positive().max(10_000).optional(),
});

const defaultHistoryLimit = 50;

/** Creates the routes, to mount at `/v1`. */
export function createSettingsRoutes(options: SettingsRoutesOptions): Hono<OperatorEnv> {
	const {store, changes, audit} = options;
	const app = new Hono<OperatorEnv>();
	app.get('/settings', async c => {
		const {version, tree} = await store.readCurrent();
		return c.json({version, tree: tree ?? {}});
	});
	app.get('/settings/versions/:version', async c => {
		const version = Number(c.req.param('version'));
		return c.json({version, tree: await store.readVersion(version)});
	});
	app.put('/settings', async c => {
		const request = requestSchema.parse(await c.req.json());
		return sendOutcome(c, await changes.apply({...request, changeId: request.changeId as ChangeId, tree: request.tree ?? {}}, c.get('requester')));
	});
	app.post('/settings/rollback', async c => {
		const {toVersion, ...request} = rollbackSchema.parse(await c.req.json());
		return sendOutcome(c, await changes.rollback(toVersion, {...request, changeId: request.changeId as ChangeId}, c.get('requester')));
	});
	app.get('/settings/changes/:id', async c => {
		const changeId = c.req.param('id') as ChangeId;
		const outcome = await changes.findChange(changeId);
		return outcome === undefined
			? c.json({code: 'unknown_change', message: `change "${changeId}" was not accepted`}, 404)
			: sendOutcome(c, outcome);
	});
	app.get('/settings/history', async c => c.json(await store.listHistory(Number(c.req.query('limit') ?? defaultHistoryLimit))));
	app.get('/settings/explain', async c => explainPath(c, store, parseTreePath(c.req.query('path') ?? '')));
	app.get('/audit', async c => c.json(await audit.listRecords(auditQuerySchema.parse(c.req.query()))));
	app.get('/audit/verify', async c => c.json(await audit.verify()));
	return app;
}

function sendOutcome(c: OperatorContext, outcome: SettingsOutcome): Response {
	return match(outcome)
		.with({status: 'pending'}, body => c.json(body, 202))
		.with({status: 'conflict'}, ({version, paths, isDisjoint}) => c.json({
			code: 'conflict',
			message: isDisjoint
				? `version ${version} came first; it changed other values, so that a rebase can keep both: ${paths.join(', ')}`
				: `version ${version} came first and changed the same values: ${paths.join(', ')}`,
			version,
			paths,
		}, 409))
		.with({status: 'forbidden'}, ({paths}) => c.json({code: 'forbidden', message: `operator "${c.get('requester').operator}" may not change ${paths.join(', ')}`, paths}, 403))
		.otherwise(body => c.json(body));
}

async function explainPath(c: OperatorContext, store: SettingsStore, path: TreePath): Promise<Response> {
	const {tree, version} = await store.readCurrent();
	const origins = await store.readOrigins();
	const values = explainValues(tree ?? {}, path).map(({from, ...value}) => ({...value, from: from.join('.'), ...origins[from.join('.')]}));
	if (values.length === 0) {
		throw new VerdictError(`path "${path.join('.')}" has no value in settings version ${version} nor above it`, {verdict: 'not-run', code: 'unknown_path'});
	}

	return c.json(values);
}

type ExplainedValue = {readonly path: string; readonly value: unknown; readonly from: TreePath};

/** Lists the values at a path, including the values that a pool or service inherits. */
export function explainValues(tree: unknown, path: TreePath): ExplainedValue[] {
	const valuesByPath = new Map<string, ExplainedValue>();
	for (const layer of listDefiningPaths(path)) {
		for (const leaf of listLeaves(findValue(tree, layer))) {
			if (leaf.value !== undefined && !isPlainObject(leaf.value)) {
				const text = [...path, ...leaf.path].join('.');
				valuesByPath.set(text, {path: text, value: leaf.value, from: [...layer, ...leaf.path]});
			}
		}
	}

	return [...valuesByPath.values()];
}

/** Lists the paths that may define a value of `path`, from the most general to the most specific. */
function listDefiningPaths(path: TreePath): TreePath[] {
	const [root, deployment, pools, pool, services, service, ...rest] = path;
	if (root !== 'deployments' || deployment === undefined || pools !== 'pools' || pool === undefined) {
		return [path];
	}

	const node = [root, deployment, pools, pool];
	if (services === 'services' && service !== undefined) {
		return [['service'], [root, deployment, 'service'], [...node, 'service'], [...node, services, service]].map(layer => [...layer, ...rest]);
	}

	const inner = path.slice(node.length);
	return [['pool'], [root, deployment, 'pool'], node].map(layer => [...layer, ...inner]);
}
