/**
 * Identity of callers: bearer tokens whose hashes stand in the settings.
 */
import {hash, timingSafeEqual} from 'node:crypto';
import {VerdictError, type CallerId} from '@tamarackwind/core';
import {type ResolvedCaller, type ResolvedService, type ResolvedSettings} from '@tamarackwind/settings';

const hashPrefix = 'sha256:';
const bearerPattern = /^bearer +(?<token>[\w.~+\/]+=*|[\w.~+\/\-]+=*)$/iv;

/** The caller of a deployment whose settings name none. */
export const anonymousCaller: ResolvedCaller = {id: 'anonymous' as CallerId, tokenHashes: [], weight: 1};

/** Hashes a bearer token to the form that settings hold. */
export function hashToken(token: string): string {
	return hashPrefix + hash('sha256', token, 'hex');
}

/** Finds the callers behind bearer tokens; the index is built once for each version of the settings. */
export class Identities {
	static create(): Identities {
		return new Identities();
	}

	#settings: ResolvedSettings | undefined;
	#callers = new Map<string, ResolvedCaller>();

	/**
	 * Finds the caller of a request.
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
		if (caller?.tokenHashes.some(known => isSameHash(known, tokenHash)) !== true) {
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

function isSameHash(known: string, found: string): boolean {
	return known.length === found.length && timingSafeEqual(Buffer.from(known), Buffer.from(found));
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
