/**
 * The caller port: any method and path under a service goes to a worker of the service's pool.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type HttpBindings} from '@hono/node-server';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {type Scheduler} from '@tamarackwind/admission';
import {VerdictError, type CallerId, type ServiceName} from '@tamarackwind/core';
import {type ResolvedService} from '@tamarackwind/settings';
import {Hono} from 'hono';
import {type EntryContext} from './contexts.js';
import {dispatchRequest} from './dispatches.js';
import {headerNames, selectEndToEndHeaders} from './headers.js';
import {sendProblem} from './problems.js';
import {type Upstreams} from './upstreams.js';

export type CallerAppOptions = {
	readonly ctx: EntryContext;
	readonly upstreams: Upstreams;
	readonly scheduler: Scheduler;
};

/** Builds the app of the caller port. */
export function createCallerApp(options: CallerAppOptions): Hono<{Bindings: HttpBindings}> {
	const app = new Hono<{Bindings: HttpBindings}>();
	app.all('/:service/*', async c => {
		await handleRequest(options, c.req.param('service') as ServiceName, c.env);
		return RESPONSE_ALREADY_SENT;
	});
	return app;
}

async function handleRequest(options: CallerAppOptions, name: ServiceName, {incoming, outgoing}: HttpBindings): Promise<void> {
	const response = outgoing;
	const service = options.ctx.settings.current?.services.get(name);
	if (service === undefined) {
		sendProblem(response, {
			status: 404, code: 'unknown_service', title: 'Unknown service', detail: `service "${name}" does not exist`, verdict: 'not-run',
		});
		return;
	}

	try {
		await forwardRequest(options, service, incoming, response);
	} catch (error) {
		refuseRequest(response, error);
	}
}

async function forwardRequest({ctx, upstreams, scheduler}: CallerAppOptions, service: ResolvedService, incoming: IncomingMessage, response: ServerResponse): Promise<void> {
	const pool = ctx.settings.current!.pools.get(service.pool)!;
	const signal = AbortSignal.timeout(service.deadlineMs);
	const grant = await scheduler.acquireSlot({
		pool,
		service,
		caller: {id: 'anonymous' as CallerId, tokenHashes: [], weight: 1},
		workClass: service.defaultClass,
		startBy: ctx.clock.readMonotonic() + service.deadlineMs,
		attempts: 0,
		triedVms: new Set(),
		signal,
	});
	const hasBody = incoming.headers['content-length'] !== undefined || incoming.headers['transfer-encoding'] !== undefined;
	try {
		await dispatchRequest({
			upstream: upstreams.getPool(grant.vm, pool.connectionsPerVm),
			method: incoming.method ?? 'GET',
			path: (incoming.url ?? '/').slice(service.name.length + 1),
			headers: {...selectEndToEndHeaders(incoming.headers), [headerNames.requestId]: ctx.random.createToken()},
			body: hasBody ? incoming : undefined,
			signal,
			response,
		});
		grant.release('answered');
	} catch (error) {
		grant.release('failed');
		throw error;
	}
}

function refuseRequest(response: ServerResponse, error: unknown): void {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	if (!(error instanceof VerdictError)) {
		throw error;
	}

	sendProblem(response, {
		status: error.code === 'deadline_exceeded' ? 504 : 503, code: error.code, title: 'Request failed', detail: error.message, verdict: error.verdict,
	});
}
