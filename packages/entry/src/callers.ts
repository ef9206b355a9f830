/**
 * The caller port: any method and path under a service goes to a worker of the service's pool.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type HttpBindings} from '@hono/node-server';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {VerdictError, type RandomSource, type ServiceName} from '@tamarackwind/core';
import {type ResolvedService} from '@tamarackwind/settings';
import {Hono} from 'hono';
import {dispatchRequest} from './dispatches.js';
import {headerNames, selectEndToEndHeaders} from './headers.js';
import {sendProblem} from './problems.js';
import {type Upstreams} from './upstreams.js';
import {type View} from './views.js';

export type CallerAppOptions = {
	readonly random: RandomSource;
	readonly upstreams: Upstreams;
	readonly view: View;
};

/** Builds the app of the caller port. */
export function createCallerApp(options: CallerAppOptions): Hono<{Bindings: HttpBindings}> {
	const app = new Hono<{Bindings: HttpBindings}>();
	app.all('/:service/*', async ctx => {
		await handleRequest(options, ctx.req.param('service') as ServiceName, ctx.env);
		return RESPONSE_ALREADY_SENT;
	});
	return app;
}

async function handleRequest(options: CallerAppOptions, name: ServiceName, {incoming, outgoing}: HttpBindings): Promise<void> {
	const response = outgoing;
	const service = options.view.settings?.services.get(name);
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

async function forwardRequest({random, upstreams, view}: CallerAppOptions, service: ResolvedService, incoming: IncomingMessage, response: ServerResponse): Promise<void> {
	const vm = random.pickItem(view.listWorkers(service.pool));
	if (vm === undefined) {
		throw new VerdictError(`pool "${service.pool}" has no live worker`, {verdict: 'not-run', code: 'no_worker'});
	}

	const hasBody = incoming.headers['content-length'] !== undefined || incoming.headers['transfer-encoding'] !== undefined;
	await dispatchRequest({
		upstream: upstreams.getPool(vm),
		method: incoming.method ?? 'GET',
		path: (incoming.url ?? '/').slice(service.name.length + 1),
		headers: {...selectEndToEndHeaders(incoming.headers), [headerNames.requestId]: random.createToken()},
		body: hasBody ? incoming : undefined,
		signal: AbortSignal.timeout(service.deadlineMs),
		response,
	});
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
