/**
 * Parses and validates the target and the header fields of a caller's request.
 */
import {type IncomingMessage} from 'node:http';
import {isDeepStrictEqual} from 'node:util';
import {VerdictError, type ServiceName} from '@tamarackwind/core';
import {
	workClassSchema, type ResolvedCaller, type ResolvedPool, type ResolvedService, type ResolvedSettings, type WorkClass,
} from '@tamarackwind/settings';
import {headerNames} from './headers.js';
import {anonymousCaller, requireService, type CallerAuthenticator} from './caller-identities.js';

/** A validated request of a caller. */
export type CallerRequest = {
	readonly caller: ResolvedCaller;
	readonly service: ResolvedService;
	readonly pool: ResolvedPool;
	readonly method: string;
	/** Path and query after the service name. */
	readonly path: string;
	readonly workClass: WorkClass;
	/** Time limit for the response head, in milliseconds. */
	readonly deadlineMs: number;
	readonly isIdempotent: boolean;
	readonly requestKey: string | undefined;
	/** Number of this attempt with the idempotency key; `undefined` if the caller does not count attempts. */
	readonly attempt: number | undefined;
	readonly receipt: string | undefined;
};

const keyPattern = /^[\u0021-\u007E]{1,255}$/v;
const countPattern = /^[1-9]\d{0,9}$/v;
const nonIdempotentMethods = new Set(['POST', 'PATCH']);

function createRefusal(code: string, message: string): VerdictError {
	return new VerdictError(message, {verdict: 'not-run', code});
}

/** Splits a request target into the service name and the rest of the path. */
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
 * Parses and validates a request.
 *
 * @throws {VerdictError} `not-run`, with a code that names the field.
 */
export function parseRequest(incoming: IncomingMessage, settings: ResolvedSettings, authenticator: CallerAuthenticator): CallerRequest {
	const caller = authenticator.findCaller(settings, incoming.headers.authorization);
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
		isIdempotent: readIdempotent(incoming) ?? !nonIdempotentMethods.has(method),
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

/** Reports whether the current settings still contain the service, pool and caller that a request was parsed with. */
export function isRequestCurrent({service, pool, caller}: CallerRequest, settings: ResolvedSettings | undefined): boolean {
	if (settings?.services.get(service.name) === service) {
		return true;
	}

	return settings !== undefined
		&& isDeepStrictEqual(settings.services.get(service.name), service)
		&& isDeepStrictEqual(settings.pools.get(pool.name), pool)
		&& (settings.callers.size === 0 ? caller === anonymousCaller : isDeepStrictEqual(settings.callers.get(caller.id), caller));
}
