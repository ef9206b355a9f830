/**
 * Semantic checks of a settings tree: references, unsatisfiable budgets, and pools that a change would empty.
 */
import {type Issue, type SafeParseResult, createIssuesError} from '@tamarackwind/core';
import type * as z from 'zod';
import {resolveSettings, type ResolvedPool} from './resolutions.js';
import {settingsTreeSchema, type SettingsTree} from './schemas.js';
import {suggestName} from './suggestions.js';

type ZodIssue = z.core.$ZodIssue;

/** Current number of VMs of each pool, by `deployment/pool`. */
export type PoolVmCounts = ReadonlyMap<string, number>;

/** Returns the keys that the schema declares at a path; none where it allows any key. */
function listKnownKeys(schema: z.ZodType, path: ReadonlyArray<string | number>): string[] {
	let node: unknown = schema;
	for (const key of path) {
		node = findChildSchema(resolveInnerSchema(node), key);
	}

	const {shape} = (resolveInnerSchema(node) ?? {}) as {readonly shape?: Record<string, unknown>};
	return Object.keys(shape ?? {});
}

type SchemaNode = {readonly def?: {readonly type?: string; readonly innerType?: unknown; readonly valueType?: unknown; readonly element?: unknown}; readonly shape?: Record<string, unknown>};

function resolveInnerSchema(schema: unknown): SchemaNode | undefined {
	let node = schema as SchemaNode | undefined;
	while (node?.def?.innerType !== undefined) {
		node = node.def.innerType as SchemaNode;
	}

	return node;
}

function findChildSchema(node: SchemaNode | undefined, key: string | number): unknown {
	return node?.shape?.[key] ?? node?.def?.valueType ?? node?.def?.element;
}

/** Converts Zod issues; an unknown key gets an issue at its own path that suggests the nearest known key. */
export function convertSchemaIssues(schema: z.ZodType, issues: readonly ZodIssue[]): Issue[] {
	return issues.flatMap(issue => {
		const path = issue.path.map(key => typeof key === 'symbol' ? String(key) : key);
		if (issue.code !== 'unrecognized_keys') {
			return [{code: issue.code, path, message: issue.message}];
		}

		const known = listKnownKeys(schema, path);
		return issue.keys.map(key => {
			const nearest = suggestName(key, known);
			const hint = nearest === undefined ? `expected one of ${known.join(', ')}` : `did you mean "${nearest}"?`;
			return {code: 'unknown_key', path: [...path, key], message: `unknown key "${key}"; ${hint}`};
		});
	});
}

/** Parses a tree and checks it with `checkTree`, without throwing. */
export function safeParseTree(json: unknown): SafeParseResult<SettingsTree> {
	const parsed = settingsTreeSchema.safeParse(json);
	const issues = parsed.success ? checkTree(parsed.data) : convertSchemaIssues(settingsTreeSchema, parsed.error.issues);
	return parsed.success && issues.length === 0 ? {success: true, data: parsed.data} : {success: false, error: createIssuesError(issues)};
}

/** Returns the issues of a tree that its schema can't detect. */
export function checkTree(tree: SettingsTree): Issue[] {
	return Object.keys(tree.deployments).flatMap(name => checkDeployment(tree, name));
}

/** Returns an issue for each pool with VMs that the tree removes or sets to size 0. */
export function checkPoolRemovals(tree: SettingsTree, counts: PoolVmCounts): Issue[] {
	const issues: Issue[] = [];
	for (const [key, count] of counts) {
		const [deployment, pool] = key.split('/') as [string, string];
		const node = tree.deployments[deployment]?.pools[pool];
		const path = ['deployments', deployment, 'pools', pool];
		if (count > 0 && node === undefined) {
			issues.push({code: 'pool_not_empty', path, message: `pool "${pool}" still holds ${count} VMs; move them first`});
		} else if (count > 0 && node?.size === 0) {
			issues.push({code: 'pool_emptied', path: [...path, 'size'], message: `size 0 would empty pool "${pool}" of its ${count} VMs; found 0, expected 1 or more`});
		}
	}

	return issues;
}

function checkDeployment(tree: SettingsTree, name: string): Issue[] {
	const deployment = tree.deployments[name]!;
	const path = ['deployments', name];
	const settings = resolveSettings(tree, name, 0);
	const issues = [...settings.pools.values()].flatMap(pool => checkPool(pool, path));
	const poolsByService = new Map<string, string>();
	for (const [pool, node] of Object.entries(deployment.pools)) {
		for (const service of Object.keys(node.services)) {
			const otherPool = poolsByService.get(service);
			if (otherPool !== undefined) {
				issues.push({code: 'duplicate_service', path: [...path, 'pools', pool, 'services', service], message: `service "${service}" stands in pool "${otherPool}" already`});
			}

			poolsByService.set(service, pool);
		}
	}

	const services = [...poolsByService.keys()];
	const teams = Object.keys(deployment.teams ?? {});
	for (const [caller, node] of Object.entries(deployment.callers ?? {})) {
		const callerPath = [...path, 'callers', caller];
		for (const [index, service] of (node.services ?? []).entries()) {
			issues.push(...checkReference('service', service, services, [...callerPath, 'services', index]));
		}

		if (node.team !== undefined) {
			issues.push(...checkReference('team', node.team, teams, [...callerPath, 'team']));
		}
	}

	for (const service of settings.services.values()) {
		if (service.deadlineMs > service.maxDeadlineMs) {
			issues.push({
				code: 'bad_deadline',
				path: [...path, 'pools', service.pool, 'services', service.name, 'deadlineMs'],
				message: `found ${service.deadlineMs}, expected at most maxDeadlineMs, which is ${service.maxDeadlineMs}`,
			});
		}
	}

	return issues;
}

function checkReference(kind: string, name: string, known: readonly string[], path: Issue['path']): Issue[] {
	if (known.includes(name)) {
		return [];
	}

	const nearest = suggestName(name, known);
	return [{code: `unknown_${kind}`, path, message: `${kind} "${name}" does not exist${nearest === undefined ? '' : `; did you mean "${nearest}"?`}`}];
}

/** Computes how many VMs of a pool of `size` VMs may be unavailable. */
export function computeMaxUnavailable(maxUnavailable: number | string, size: number): number {
	return typeof maxUnavailable === 'number' ? maxUnavailable : Math.floor(size * Number.parseInt(maxUnavailable, 10) / 100);
}

function checkPool(pool: ResolvedPool, deploymentPath: readonly string[]): Issue[] {
	const path = [...deploymentPath, 'pools', pool.name];
	const {budget, shares, size} = pool;
	const issues: Issue[] = [];
	if (typeof budget.maxUnavailable === 'string' && Number.parseInt(budget.maxUnavailable, 10) > 100) {
		issues.push({code: 'bad_budget', path: [...path, 'budget', 'maxUnavailable'], message: `found "${budget.maxUnavailable}", expected at most "100%"`});
	}

	if (budget.maxPerRack === 0 || computeMaxUnavailable(budget.maxUnavailable, size ?? 100) === 0) {
		issues.push({code: 'bad_budget', path: [...path, 'budget'], message: `budget of pool "${pool.name}" lets no VM out, so that none can ever be maintained`});
	}

	if (size !== undefined && size > 1 && computeMaxUnavailable(budget.maxUnavailable, size) >= size) {
		issues.push({code: 'bad_budget', path: [...path, 'budget', 'maxUnavailable'], message: `found ${JSON.stringify(budget.maxUnavailable)}, which lets out all ${size} VMs of pool "${pool.name}" at once`});
	}

	const floors = shares.urgent.floor + shares.interactive.floor + shares.batch.floor;
	if (floors > 1) {
		issues.push({code: 'bad_shares', path: [...path, 'shares'], message: `floors of pool "${pool.name}" add up to ${floors}, expected at most 1`});
	}

	return issues;
}
