/**
 * Identity of operators: who sends a call to the operator port, and what they may change.
 */
import {type HttpBindings} from '@hono/node-server';
import {type OperatorId} from '@tamarackwind/core';
import {formatTreePath, isCovered, type TreePath} from '@tamarackwind/settings';
import {type Context, type MiddlewareHandler} from 'hono';
import {Counter, type Registry} from 'prom-client';
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

export type OperatorIdentitiesOptions = {
	readonly settings: SettingsView;
	readonly registry: Registry;
	/** Hash of the token of an operator with all rights, while the settings name no operator. */
	readonly bootstrapHash: string | undefined;
};

const bootstrapOperator = 'bootstrap' as OperatorId;

function findOperator({settings, bootstrapHash}: OperatorIdentitiesOptions, tokenHash: string): Pick<Requester, 'operator' | 'rights'> | undefined {
	const operators = [...settings.current?.operators.values() ?? []];
	if (operators.length === 0) {
		return tokenHash === bootstrapHash ? {operator: bootstrapOperator, rights: ['']} : undefined;
	}

	const found = operators.find(operator => operator.tokenHashes.includes(tokenHash));
	return found === undefined ? undefined : {operator: found.id, rights: found.rights};
}

/** Creates the middleware that refuses strangers and names the requester. */
export function createOperatorGuard(options: OperatorIdentitiesOptions): MiddlewareHandler<OperatorEnv> {
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

		c.set('requester', {...found, address: c.env.incoming.socket.remoteAddress ?? ''});
		await next();
	};
}

/** Tells whether a requester may change a path, such as that of a pool. */
export function isAllowed({rights}: Requester, path: TreePath): boolean {
	return isCovered(rights, path);
}

/** Answers that a requester may not change paths. */
export function refuseForbidden(c: OperatorContext, paths: readonly TreePath[]): Response {
	const {operator} = c.get('requester');
	return c.json({code: 'forbidden', message: `operator "${operator}" may not change ${paths.map(path => formatTreePath(path)).join(', ')}`}, 403);
}
