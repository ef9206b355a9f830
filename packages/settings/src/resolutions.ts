/**
 * Resolves inheritance: computes the effective values of each pool and service of a deployment.
 */
import {
	type CallerId, type OperatorId, type PoolName, type ServiceName, type TeamName,
} from '@tamarackwind/core';
import {defaultPoolValues, defaultServiceValues} from './defaults.js';
import {type PoolValues, type ServiceValues, type SettingsTree} from './schemas.js';

type Deployment = SettingsTree['deployments'][string];

/** A service with the pool that runs it. */
export type ResolvedService = ServiceValues & {readonly name: ServiceName; readonly pool: PoolName};

/** A pool with its services. */
export type ResolvedPool = PoolValues & {readonly name: PoolName; readonly services: readonly ServiceName[]};

/** A caller of the deployment. */
export type ResolvedCaller = {
	readonly id: CallerId;
	readonly tokenHashes: readonly string[];
	readonly weight: number;
	/** All services if undefined. */
	readonly services?: readonly ServiceName[];
	readonly team?: TeamName;
};

/** An operator and the parts of the tree that it may change. */
export type ResolvedOperator = {
	readonly id: OperatorId;
	readonly tokenHashes: readonly string[];
	readonly rights: readonly string[];
};

/** Effective settings of one deployment. */
export type ResolvedSettings = {
	readonly version: number;
	readonly deployment: string;
	readonly pools: ReadonlyMap<PoolName, ResolvedPool>;
	readonly services: ReadonlyMap<ServiceName, ResolvedService>;
	readonly callers: ReadonlyMap<CallerId, ResolvedCaller>;
	readonly operators: ReadonlyMap<OperatorId, ResolvedOperator>;
	readonly teams: ReadonlyMap<TeamName, NonNullable<Deployment['teams']>[string]>;
};

/** A JSON object. */
export type PlainObject = Record<string, unknown>;

/** Reports whether a JSON value is an object. */
export function isPlainObject(value: unknown): value is PlainObject {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Merges `override` into a copy of `base`: objects are merged key by key, any other value replaces the one in `base`. */
export function mergeValues(base: PlainObject, override: PlainObject): PlainObject {
	const merged: PlainObject = {...base};
	for (const [key, value] of Object.entries(override)) {
		const inherited = merged[key];
		merged[key] = isPlainObject(inherited) && isPlainObject(value) ? mergeValues(inherited, value) : value;
	}

	return merged;
}

function mergeLayers<T>(base: T, layers: ReadonlyArray<Record<string, unknown> | undefined>): T {
	let merged = base as PlainObject;
	for (const layer of layers) {
		merged = mergeValues(merged, (layer ?? {}));
	}

	return merged as T;
}

/**
 * Resolves the tree for one deployment.
 *
 * @example
 * const settings = resolveSettings(tree, 'fixture', 7);
 * settings.services.get('redraw' as ServiceName)?.deadlineMs;
 * @throws {RangeError} if the tree has no such deployment.
 */
export function resolveSettings(tree: SettingsTree, deploymentName: string, version: number): ResolvedSettings {
	const deployment = tree.deployments[deploymentName];
	if (deployment === undefined) {
		throw new RangeError(`deployment "${deploymentName}" does not exist in the settings tree`);
	}

	const pools = new Map<PoolName, ResolvedPool>();
	const services = new Map<ServiceName, ResolvedService>();
	for (const [name, node] of Object.entries(deployment.pools)) {
		const poolName = name as PoolName;
		const {service: poolService, services: serviceNodes, ...poolValues} = node;
		const names = Object.keys(serviceNodes) as ServiceName[];
		pools.set(poolName, {...mergeLayers(defaultPoolValues, [tree.pool, deployment.pool, poolValues]), name: poolName, services: names});
		for (const serviceName of names) {
			const values = mergeLayers(defaultServiceValues, [tree.service, deployment.service, poolService, serviceNodes[serviceName]]);
			services.set(serviceName, {...values, name: serviceName, pool: poolName});
		}
	}

	return {
		version, deployment: deploymentName, pools, services, ...resolvePrincipals(tree, deployment),
	};
}

function resolvePrincipals(tree: SettingsTree, deployment: Deployment): Pick<ResolvedSettings, 'callers' | 'operators' | 'teams'> {
	const callers = Object.entries(deployment.callers ?? {}).map(([id, caller]) => [id as CallerId, {
		...caller,
		id: id as CallerId,
		weight: caller.weight ?? 1,
		services: caller.services as ServiceName[] | undefined,
		team: caller.team as TeamName | undefined,
	}] as const);
	const operators = Object.entries(tree.operators ?? {}).map(([id, operator]) => [id as OperatorId, {...operator, id: id as OperatorId}] as const);
	const teams = Object.entries(deployment.teams ?? {}).map(([name, team]) => [name as TeamName, team] as const);
	return {callers: new Map(callers), operators: new Map(operators), teams: new Map(teams)};
}
