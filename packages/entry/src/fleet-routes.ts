/**
 * Operator routes for pools, VMs, waves and moves.
 */
import {
	createIssuesError, IssuesError, parseId, VerdictError, type MoveId, type OperatorId, type PoolName, type VmId, type WaveId,
} from '@tamarackwind/core';
import {
	computeMaxUnavailable, isVmDone, type FleetCommands, type VmRow, type WaveRow,
} from '@tamarackwind/fleet';
import {Hono, type Context} from 'hono';
import * as z from 'zod';
import {type EntryContext} from './contexts.js';

const statusByCode: Readonly<Record<string, 403 | 409>> = {conflict: 409, forbidden: 403};

const namesSchema = z.array(z.string()).min(1).optional();
const defaultReturnTimeoutMs = 600_000;

const waveSpecSchema = z.strictObject({
	waveId: z.string(),
	selector: z.strictObject({
		pools: namesSchema, zones: namesSchema, racks: namesSchema, vms: namesSchema,
	}),
	action: z.enum(['reboot', 'drain']).default('reboot'),
	maxNotBack: z.number().int().min(1).default(1),
	returnTimeoutMs: z.number().int().positive().default(defaultReturnTimeoutMs),
	deadline: z.number().int().positive().optional(),
	includesHeld: z.boolean().default(false),
});

const moveSpecSchema = z.strictObject({
	moveId: z.string(),
	from: z.string(),
	to: z.string(),
	count: z.number().int().positive().optional(),
	vms: z.array(z.string()).min(1).optional(),
	allowsWorseSpread: z.boolean().optional(),
});

export type FleetRoutesOptions = {
	readonly ctx: EntryContext;
	readonly commands: FleetCommands;
	/** Returns the operator of the current call; throws if the operator may not change the fleet. */
	readonly authorizeChange: () => OperatorId;
};

/** Mounts the fleet routes on the app of the operator port. */
export function addFleetRoutes(app: Pick<Hono<any>, 'route'>, options: FleetRoutesOptions): void {
	const routes = new Hono();
	routes.onError((error, c) => sendError(error, c));
	addPoolRoutes(routes, options);
	addWaveRoutes(routes, options);
	addMoveRoutes(routes, options);
	app.route('/v1', routes);
}

function sendError(error: Error, c: Context): Response {
	if (error instanceof IssuesError) {
		return c.json({code: 'bad_input', message: error.message, issues: error.issues}, error.issues.some(issue => issue.code.startsWith('unknown_') && issue.path.length === 1) ? 404 : 400);
	}

	if (error instanceof VerdictError) {
		return c.json({code: error.code, message: error.message}, statusByCode[error.code] ?? 503);
	}

	throw error;
}

async function parseBody<T>(schema: z.ZodType<T>, c: Context): Promise<T> {
	const json: unknown = await c.req.json().catch(() => undefined);
	const result = schema.safeParse(json);
	if (!result.success) {
		throw createIssuesError(result.error.issues.map(issue => ({code: issue.code, path: issue.path as Array<string | number>, message: issue.message})));
	}

	return result.data;
}

function parseNewId<Id extends WaveId | MoveId>(text: string, field: string): Id {
	try {
		return parseId<Id>(text);
	} catch (error) {
		throw createIssuesError([{code: 'bad_id', path: [field], message: (error as Error).message}]);
	}
}

function addPoolRoutes(routes: Hono, {ctx, commands, authorizeChange}: FleetRoutesOptions): void {
	routes.get('/pools', c => c.json(listPools(ctx)));
	routes.get('/pools/:pool', c => {
		const pool = listPools(ctx).find(({name}) => name === c.req.param('pool'));
		if (pool === undefined) {
			throw createIssuesError([{code: 'unknown_pool', path: ['pool'], message: `pool "${c.req.param('pool')}" does not exist in deployment "${ctx.config.deployment}"`}]);
		}

		return c.json({...pool, vms: listVms(ctx).filter(vm => vm.pool === pool.name)});
	});
	routes.get('/vms', c => c.json(listVms(ctx)));
	routes.get('/vms/:vm', c => {
		const vm = listVms(ctx).find(({vmId}) => vmId === c.req.param('vm'));
		if (vm === undefined) {
			throw createIssuesError([{code: 'unknown_vm', path: ['vm'], message: `VM "${c.req.param('vm')}" does not exist`}]);
		}

		return c.json(vm);
	});
	routes.post('/vms/:vm/release', async c => c.json(await commands.releaseVm(c.req.param('vm') as VmId, authorizeChange())));
}

function addWaveRoutes(routes: Hono, {ctx, commands, authorizeChange}: FleetRoutesOptions): void {
	routes.get('/waves', async c => c.json((await commands.listWaves()).map(wave => describeWave(ctx, wave))));
	routes.get('/waves/:wave', async c => {
		const wave = (await commands.listWaves()).find(({waveId}) => waveId === c.req.param('wave'));
		if (wave === undefined) {
			throw createIssuesError([{code: 'unknown_wave', path: ['wave'], message: `wave "${c.req.param('wave')}" does not exist`}]);
		}

		return c.json({...describeWave(ctx, wave), vms: listVms(ctx).filter(vm => vm.work?.id === wave.waveId)});
	});
	routes.post('/waves', async c => {
		const operator = authorizeChange();
		const spec = await parseBody(waveSpecSchema, c);
		const wave = await commands.startWave({...spec, waveId: parseNewId<WaveId>(spec.waveId, 'waveId')}, operator);
		return c.json(describeWave(ctx, wave), 201);
	});
	for (const verb of ['pause', 'resume', 'cancel'] as const) {
		routes.post(`/waves/:wave/${verb}`, async c => {
			const wave = await commands.setWaveState(c.req.param('wave') as WaveId, verb, authorizeChange());
			return c.json(describeWave(ctx, wave));
		});
	}
}

function addMoveRoutes(routes: Hono, {commands, authorizeChange}: FleetRoutesOptions): void {
	routes.get('/moves', async c => c.json(await commands.listMoves()));
	routes.get('/moves/:move', async c => {
		const move = (await commands.listMoves()).find(({moveId}) => moveId === c.req.param('move'));
		if (move === undefined) {
			throw createIssuesError([{code: 'unknown_move', path: ['move'], message: `move "${c.req.param('move')}" does not exist`}]);
		}

		return c.json(move);
	});
	routes.post('/moves', async c => {
		const operator = authorizeChange();
		const spec = await parseBody(moveSpecSchema, c);
		const move = await commands.startMove({
			...spec, moveId: parseNewId<MoveId>(spec.moveId, 'moveId'), from: spec.from as PoolName, to: spec.to as PoolName, vms: spec.vms as VmId[] | undefined,
		}, operator);
		return c.json(move, 201);
	});
	routes.post('/moves/:move/cancel', async c => c.json(await commands.cancelMove(c.req.param('move') as MoveId, authorizeChange())));
}

type VmDescription = VmRow & {readonly listed: string; readonly address?: string};

function listVms({fleet}: EntryContext): VmDescription[] {
	const records = new Map(fleet.listing?.vms.map(vm => [vm.vmId, vm]));
	return [...fleet.state?.vms.values() ?? []]
		.toSorted((a, b) => a.vmId.localeCompare(b.vmId))
		.map(row => {
			const record = records.get(row.vmId);
			return {...row, listed: record?.state ?? 'missing', address: record && `${record.address}:${record.port}`};
		});
}

function listPools(ctx: EntryContext): Array<Record<string, unknown> & {readonly name: PoolName}> {
	const vms = listVms(ctx);
	return [...ctx.settings.current?.pools.values() ?? []].map(pool => {
		const members = vms.filter(vm => vm.pool === pool.name);
		const out = members.filter(vm => vm.state !== 'serving' || vm.listed !== 'live');
		return {
			name: pool.name,
			vms: members.length,
			size: pool.size ?? 'as is',
			out: out.length,
			mayBeOut: computeMaxUnavailable(pool.budget, members.length),
			lent: vms.filter(vm => vm.home === pool.name && vm.pool !== pool.name).length,
			borrowed: members.filter(vm => vm.home !== pool.name).length,
			isSpare: pool.isSpare,
		};
	});
}

/** Describes a wave with its progress and its expected end, extrapolated from the progress so far. */
function describeWave({fleet, clock, settings}: EntryContext, wave: WaveRow): Record<string, unknown> {
	const rows = [...fleet.state?.vms.values() ?? []];
	const done = wave.doneCount ?? rows.filter(row => row.doneWaves !== undefined && isVmDone(row, wave.waveId)).length;
	const out = rows.filter(row => row.work?.id === wave.waveId).length;
	const blockedPools = [...settings.current?.pools.values() ?? []]
		.filter(pool => computeMaxUnavailable(pool.budget, rows.filter(row => row.pool === pool.name).length) === 0)
		.map(pool => pool.name);
	const elapsedMs = clock.readWall() - wave.createdAt;
	const hasProgress = wave.state === 'running' && done > 0;
	const expectedEnd = hasProgress ? new Date(wave.createdAt + (elapsedMs * wave.total / done)).toISOString() : undefined;
	return {
		waveId: wave.waveId, state: wave.state, action: wave.action, done, out, total: wave.total, notBack: wave.notBack,
		/** Pools whose budgets allow no VM to be unavailable. */
		blockedPools,
		startedAt: new Date(wave.createdAt).toISOString(),
		expectedEnd: wave.finishedAt === undefined ? expectedEnd ?? '' : new Date(wave.finishedAt).toISOString(),
		deadline: wave.deadline === undefined ? '' : new Date(wave.deadline).toISOString(),
		createdBy: wave.createdBy,
	};
}
