/**
 * What a caller asks for: the fields of a request, checked.
 */
import {type IncomingMessage} from 'node:http';
import {isDeepStrictEqual} from 'node:util';
import {VerdictError, type ServiceName} from '@tamarackwind/core';
import {
	workClassSchema, type ResolvedCaller, type ResolvedPool, type ResolvedService, type ResolvedSettings, type WorkClass,
} from '@tamarackwind/settings';
import {headerNames} from './headers.js';
import {anonymousCaller, requireService, type Identities} from './identities.js';

/** A request of a caller whose fields are in order. */
export type CallerRequest = {
	readonly caller: ResolvedCaller;
	readonly service: ResolvedService;
	readonly pool: ResolvedPool;
	readonly method: string;
	/** Path and query below the service. */
	readonly path: string;
	readonly workClass: WorkClass;
	/** Time for the head of the answer to arrive, in milliseconds. */
	readonly deadlineMs: number;
	readonly isIdempotent: boolean;
	readonly requestKey: string | undefined;
	/** Number of this attempt with the key; `undefined` when the caller does not count. */
	readonly attempt: number | undefined;
	readonly receipt: string | undefined;
};

const keyPattern = /^[\u0021-\u007E]{1,255}$/v;
const countPattern = /^[1-9]\d{0,9}$/v;
const writingMethods = new Set(['POST', 'PATCH']);

function createRefusal(code: string, message: string): VerdictError {
	return new VerdictError(message, {verdict: 'not-run', code});
}

/** Splits the target of a request into the service and the path below it. */
export function splitTarget(target: string): {readonly service: ServiceName; readonly path: string} {
	if (!target.startsWith('/')) {
		throw createRefusal('invalid_target', 'the request target must be a path that begins with "/"');
	}

	const end = target.slice(1).search(/[\/?]/v);
	const service = end === -1 ? target.slice(1) : target.slice(1, end + 1);
	const rest = end === -1 ? '' : target.slice(end + 1);
	return {service: service as ServiceName, path: rest.startsWith('/') ? rest : `/${rest}`};
}

/**
 * Reads and checks the fields of a request.
 *
 * @throws {VerdictError} `not-run`, with a code that names the field.
 */
export function parseRequest(incoming: IncomingMessage, settings: ResolvedSettings, identities: Identities): CallerRequest {
	const caller = identities.findCaller(settings, incoming.headers.authorization);
	const {service: name, path} = splitTarget(incoming.url ?? '');
	const service = settings.services.get(name);
	if (service === undefined) {
		throw createRefusal('unknown_service', `service "${name}" does not exist in deployment "${settings.deployment}"`);
	}

	requireService(caller, service);
	const method = incoming.method ?? 'GET';
	return {
		caller,
		service,
		pool: settings.pools.get(service.pool)!,
		method,
		path,
		workClass: readWorkClass(incoming, service),
		deadlineMs: readDeadline(incoming, service),
		isIdempotent: readIdempotent(incoming) ?? !writingMethods.has(method),
		requestKey: readRequestKey(incoming),
		attempt: readCount(incoming, headerNames.attempt, 'invalid_attempt'),
		receipt: readField(incoming, headerNames.receipt),
	};
}

function readField({headers}: IncomingMessage, name: string): string | undefined {
	const value = headers[name];
	return Array.isArray(value) ? value.join(', ') : value;
}

function readWorkClass(incoming: IncomingMessage, service: ResolvedService): WorkClass {
	const text = readField(incoming, headerNames.workClass);
	if (text === undefined) {
		return service.defaultClass;
	}

	const parsed = workClassSchema.safeParse(text);
	if (!parsed.success) {
		throw createRefusal('invalid_class', `${headerNames.workClass} is ${JSON.stringify(text)}, expected one of ${workClassSchema.options.join(', ')}`);
	}

	return parsed.data;
}

function readCount(incoming: IncomingMessage, name: string, code: string): number | undefined {
	const text = readField(incoming, name);
	if (text !== undefined && !countPattern.test(text)) {
		throw createRefusal(code, `${name} is ${JSON.stringify(text)}, expected a positive whole number`);
	}

	return text === undefined ? undefined : Number(text);
}

function readDeadline(incoming: IncomingMessage, service: ResolvedService): number {
	const deadlineMs = readCount(incoming, headerNames.deadline, 'invalid_deadline') ?? Math.min(service.deadlineMs, service.maxDeadlineMs);
	if (deadlineMs > service.maxDeadlineMs) {
		throw createRefusal('invalid_deadline', `${headerNames.deadline} is ${deadlineMs}, above the ${service.maxDeadlineMs} ms that service "${service.name}" allows`);
	}

	return deadlineMs;
}

function readIdempotent(incoming: IncomingMessage): boolean | undefined {
	const text = readField(incoming, headerNames.idempotent);
	if (text !== undefined && text !== 'true' && text !== 'false') {
		throw createRefusal('invalid_idempotent', `${headerNames.idempotent} is ${JSON.stringify(text)}, expected true or false`);
	}

	return text === undefined ? undefined : text === 'true';
}

function readRequestKey(incoming: IncomingMessage): string | undefined {
	if (incoming.headers[headerNames.requestKey] === undefined) {
		return undefined;
	}

	const values = incoming.headersDistinct[headerNames.requestKey] ?? [];
	if (values.length !== 1 || !keyPattern.test(values[0]!)) {
		throw createRefusal('invalid_key', 'idempotency-key must be one field of 1 to 255 visible characters without spaces');
	}

	return values[0];
}

/** Tells whether the settings in force still give a request the service, pool and caller that it was read with. */
export function isRequestCurrent({service, pool, caller}: CallerRequest, settings: ResolvedSettings | undefined): boolean {
	if (settings?.services.get(service.name) === service) {
		return true;
	}

	return settings !== undefined
		&& isDeepStrictEqual(settings.services.get(service.name), service)
		&& isDeepStrictEqual(settings.pools.get(pool.name), pool)
		&& (settings.callers.size === 0 ? caller === anonymousCaller : isDeepStrictEqual(settings.callers.get(caller.id), caller));
}
