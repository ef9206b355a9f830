/**
 * Identity of operators: who sends a call to the operator port, and what they may change.
 */
import {AsyncLocalStorage} from 'node:async_hooks';
import {type HttpBindings} from '@hono/node-server';
import {VerdictError, type OperatorId} from '@tamarackwind/core';
import {type FleetAction} from '@tamarackwind/fleet';
import {isCovered, type TreePath} from '@tamarackwind/settings';
import {type Context, type MiddlewareHandler} from 'hono';
import {Counter, type Registry} from 'prom-client';
import {type AuditEntry, type AuditLog} from './audits.js';
import {hashToken} from './identities.js';
import {type SettingsView} from './settings-views.js';

/** Who sends a call, and from where. */
export type Requester = {
	readonly operator: OperatorId;
	/** Paths of the settings tree that the operator may change. */
	readonly rights: readonly string[];
	/** IP number that the call came from. */
	readonly address: string;
};

/** Environment of the operator port's routes. */
export type OperatorEnv = {readonly Bindings: HttpBindings; readonly Variables: {readonly requester: Requester}};

export type OperatorContext = Context<OperatorEnv>;

export type OperatorGuardOptions = {
	readonly settings: SettingsView;
	readonly registry: Registry;
	readonly audit: AuditLog;
	/** Hash of the token of an operator with all rights, while the settings name no operator. */
	readonly bootstrapHash: string | undefined;
};

const bootstrapOperator = 'bootstrap' as OperatorId;
const requesters = new AsyncLocalStorage<Requester>();

function findOperator({settings, bootstrapHash}: OperatorGuardOptions, tokenHash: string): Pick<Requester, 'operator' | 'rights'> | undefined {
	const operators = [...settings.current?.operators.values() ?? []];
	if (operators.length === 0) {
		return tokenHash === bootstrapHash ? {operator: bootstrapOperator, rights: ['']} : undefined;
	}

	const found = operators.find(operator => operator.tokenHashes.includes(tokenHash));
	return found === undefined ? undefined : {operator: found.id, rights: found.rights};
}

/** Creates the middleware that refuses strangers and names the requester. */
export function createOperatorGuard(options: OperatorGuardOptions): MiddlewareHandler<OperatorEnv> {
	const strangers = new Counter({
		name: 'tamarackwind_operator_strangers_total',
		help: 'Calls to the operator port without a known token',
		registers: [options.registry],
	});
	return async (c, next) => {
		const token = /^bearer +(?<token>\S+)$/iv.exec(c.req.header('authorization') ?? '')?.groups?.token;
		const found = token === undefined ? undefined : findOperator(options, hashToken(token));
		if (found === undefined) {
			strangers.inc();
			const message = token === undefined ? 'the call carries no bearer token' : 'the bearer token belongs to no operator';
			return c.json({code: 'unauthenticated', message}, 401, {'www-authenticate': 'Bearer'});
		}

		const requester = {...found, address: c.env.incoming.socket.remoteAddress ?? ''};
		c.set('requester', requester);
		await requesters.run(requester, next);
		await recordRefusal(c, options.audit);
	};
}

/** Records a refused try; the routes of the settings record their own. */
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
 * Names the operator of the present call, who must be allowed to change the fleet of a deployment.
 *
 * @throws {VerdictError} with code `forbidden`.
 */
export function requireFleetRight(deployment: string): OperatorId {
	const requester = requesters.getStore();
	if (requester === undefined || !isAllowed(requester, ['deployments', deployment])) {
		throw new VerdictError(`no right to change the fleet of deployment "${deployment}"`, {verdict: 'not-run', code: 'forbidden'});
	}

	return requester.operator;
}

/** Describes a change of the fleet for the audit trail. */
export function createFleetEntry({operator, action, subject, detail}: FleetAction): AuditEntry {
	return {
		operator,
		address: requesters.getStore()?.address ?? '',
		action,
		changes: [{path: `${action.split('.')[0]!}/${subject}`, after: detail}],
		outcome: 'accepted',
	};
}

/** Tells whether a requester may change a path, such as that of a pool. */
export function isAllowed({rights}: Requester, path: TreePath): boolean {
	return isCovered(rights, path);
}
