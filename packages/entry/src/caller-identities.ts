/**
 * Authentication of callers by bearer tokens, whose hashes are in the settings.
 */
import {hash, timingSafeEqual} from 'node:crypto';
import {VerdictError, type CallerId} from '@tamarackwind/core';
import {type ResolvedCaller, type ResolvedService, type ResolvedSettings} from '@tamarackwind/settings';

const hashPrefix = 'sha256:';
const bearerPattern = /^bearer +(?<token>[\w.~+\/]+=*|[\w.~+\/\-]+=*)$/iv;

/** Caller of all requests in a deployment whose settings contain no callers. */
export const anonymousCaller: ResolvedCaller = {id: 'anonymous' as CallerId, tokenHashes: [], weight: 1};

/** Hashes a bearer token in the format of the settings. */
export function hashToken(token: string): string {
	return hashPrefix + hash('sha256', token, 'hex');
}

/** Finds callers by their bearer tokens. The index is rebuilt only when the settings change. */
export class CallerAuthenticator {
	static create(): CallerAuthenticator {
		return new CallerAuthenticator();
	}

	#settings: ResolvedSettings | undefined;
	#callers = new Map<string, ResolvedCaller>();

	/**
	 * Finds the caller of a request by its `authorization` header.
	 *
	 * @throws {VerdictError} `not-run`, with code `unauthenticated`.
	 */
	findCaller(settings: ResolvedSettings, authorization: string | undefined): ResolvedCaller {
		if (settings.callers.size === 0) {
			return anonymousCaller;
		}

		this.#refresh(settings);
		const token = bearerPattern.exec(authorization ?? '')?.groups?.token;
		if (token === undefined) {
			throw new VerdictError('the request carries no bearer token', {verdict: 'not-run', code: 'unauthenticated'});
		}

		const tokenHash = hashToken(token);
		const caller = this.#callers.get(tokenHash);
		if (caller?.tokenHashes.some(expectedHash => isSameHash(expectedHash, tokenHash)) !== true) {
			throw new VerdictError('the bearer token belongs to no caller', {verdict: 'not-run', code: 'unauthenticated'});
		}

		return caller;
	}

	#refresh(settings: ResolvedSettings): void {
		if (this.#settings !== settings) {
			this.#settings = settings;
			this.#callers = new Map([...settings.callers.values()].flatMap(caller => caller.tokenHashes.map(tokenHash => [tokenHash, caller] as const)));
		}
	}
}

function isSameHash(expected: string, actual: string): boolean {
	return expected.length === actual.length && timingSafeEqual(Buffer.from(expected), Buffer.from(actual));
}

/**
 * Checks that a caller may use a service.
 *
 * @throws {VerdictError} `not-run`, with code `forbidden`.
 */
export function requireService(caller: ResolvedCaller, service: ResolvedService): void {
	if (caller.services?.includes(service.name) === false) {
		throw new VerdictError(`caller "${caller.id}" may not use service "${service.name}"`, {verdict: 'not-run', code: 'forbidden'});
	}
}
