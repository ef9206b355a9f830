/**
 * Authentication and authorization of operators.
 */
import {AsyncLocalStorage} from 'node:async_hooks';
import {type HttpBindings} from '@hono/node-server';
import {VerdictError, type OperatorId} from '@tamarackwind/core';
import {type FleetAction} from '@tamarackwind/fleet';
import {isPathCovered, type TreePath} from '@tamarackwind/settings';
import {type Context, type MiddlewareHandler} from 'hono';
import {Counter, type Registry} from 'prom-client';
import {type AuditEntry, type AuditLog} from './audits.js';
import {hashToken} from './caller-identities.js';
import {type SettingsView} from './settings-views.js';

/** The operator who sent a call, with the source address. */
export type Requester = {
	readonly operator: OperatorId;
	/** Paths of the settings tree that the operator is allowed to change. */
	readonly rights: readonly string[];
	/** IP address that the call came from. */
	readonly address: string;
};

/** Hono environment of the operator routes. */
export type OperatorEnv = {readonly Bindings: HttpBindings; readonly Variables: {readonly requester: Requester}};

export type OperatorContext = Context<OperatorEnv>;

export type OperatorGuardOptions = {
	readonly settings: SettingsView;
	readonly registry: Registry;
	readonly audit: AuditLog;
	/** Hash of the token of an operator with all rights, valid while the settings contain no operator. */
	readonly bootstrapHash: string | undefined;
};

const bootstrapOperator = 'bootstrap' as OperatorId;
const currentRequester = new AsyncLocalStorage<Requester>();

function findOperator({settings, bootstrapHash}: OperatorGuardOptions, tokenHash: string): Pick<Requester, 'operator' | 'rights'> | undefined {
	const operators = [...settings.current?.operators.values() ?? []];
	if (operators.length === 0) {
		return tokenHash === bootstrapHash ? {operator: bootstrapOperator, rights: ['']} : undefined;
	}

	const operator = operators.find(candidate => candidate.tokenHashes.includes(tokenHash));
	return operator === undefined ? undefined : {operator: operator.id, rights: operator.rights};
}

/** Creates the middleware that authenticates operators and sets the requester of each call. */
export function createOperatorGuard(options: OperatorGuardOptions): MiddlewareHandler<OperatorEnv> {
	const unauthenticatedCalls = new Counter({
		name: 'tamarackwind_operator_strangers_total',
		help: 'Calls to the operator port without a known token',
		registers: [options.registry],
	});
	return async (c, next) => {
		const token = /^bearer +(?<token>\S+)$/iv.exec(c.req.header('authorization') ?? '')?.groups?.token;
		const operator = token === undefined ? undefined : findOperator(options, hashToken(token));
		if (operator === undefined) {
			unauthenticatedCalls.inc();
			const message = token === undefined ? 'the call carries no bearer token' : 'the bearer token belongs to no operator';
			return c.json({code: 'unauthenticated', message}, 401, {'www-authenticate': 'Bearer'});
		}

		const requester = {...operator, address: c.env.incoming.socket.remoteAddress ?? ''};
		c.set('requester', requester);
		await currentRequester.run(requester, next);
		await recordRefusal(c, options.audit);
	};
}

/** Records a refused call in the audit trail. The settings routes record their own refusals. */
async function recordRefusal(c: OperatorContext, audit: AuditLog): Promise<void> {
	const {method, path} = c.req;
	const {status} = c.res;
	if (method === 'GET' || status < 400 || status >= 500 || path.startsWith('/v1/settings')) {
		return;
	}

	const {operator, address} = c.get('requester');
	const {message} = await c.res.clone().json() as {readonly message?: string};
	await audit.record({
		operator, address, action: `${method} ${path}`, changes: [], outcome: status === 409 ? 'conflict' : 'refused', detail: message,
	});
}

/**
 * Returns the operator of the current call if they are allowed to change the fleet of a deployment.
 *
 * @throws {VerdictError} with code `forbidden`.
 */
export function requireFleetRight(deployment: string): OperatorId {
	const requester = currentRequester.getStore();
	if (requester === undefined || !isAllowed(requester, ['deployments', deployment])) {
		throw new VerdictError(`no right to change the fleet of deployment "${deployment}"`, {verdict: 'not-run', code: 'forbidden'});
	}

	return requester.operator;
}

/** Creates the audit entry of a fleet action. */
export function createFleetAuditEntry({operator, action, subject, detail}: FleetAction): AuditEntry {
	return {
		operator,
		address: currentRequester.getStore()?.address ?? '',
		action,
		changes: [{path: `${action.split('.')[0]!}/${subject}`, after: detail}],
		outcome: 'accepted',
	};
}

/** Reports whether a requester is allowed to change a path of the settings tree. */
export function isAllowed({rights}: Requester, path: TreePath): boolean {
	return isPathCovered(rights, path);
}
