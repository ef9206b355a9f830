/**
 * Names of header fields, and the selection of fields to forward.
 */

/** Header fields of the caller interface, in lower case. */
export const headerNames = {
	/** Work class: urgent, interactive or batch. */
	workClass: 'tamarackwind-class',
	/** Remaining time for the request, in milliseconds. */
	deadline: 'tamarackwind-deadline-ms',
	/** Whether the request is idempotent (`true` or `false`); overrides the default of the method. */
	idempotent: 'tamarackwind-idempotent',
	/** Idempotency key of a non-idempotent request, as in the IETF draft on the Idempotency-Key field. */
	requestKey: 'idempotency-key',
	/** Number of the caller's attempt with one idempotency key, starting at 1. */
	attempt: 'tamarackwind-attempt',
	/** Receipt that proves that an earlier attempt did not run. Responses issue it, and retried requests carry it. */
	receipt: 'tamarackwind-receipt',
	/** Verdict of a failed request. */
	verdict: 'tamarackwind-verdict',
	/** `true` on a stored response that is sent again. */
	replayed: 'tamarackwind-replayed',
	/** Id of one dispatch, which the upstream may echo in its response. */
	requestId: 'tamarackwind-request-id',
	/** Id of the caller, sent to the upstream. */
	caller: 'tamarackwind-caller',
	/** `true` on responses of an upstream that is shutting down. */
	leaving: 'tamarackwind-leaving',
} as const;

/** Header fields by name in lower case. */
export type HeaderFields = Record<string, string | string[]>;

type ReadonlyHeaders = Readonly<Record<string, string | string[] | undefined>>;

const hopByHopNames = ['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade'];

/** Request fields that are not forwarded. The caller's token is a secret that only the entry checks. */
const requestOnlyNames = new Set([...hopByHopNames, 'authorization', 'expect', headerNames.deadline, headerNames.receipt, headerNames.caller, headerNames.requestId]);

/** Response fields that are not forwarded. Only the entry issues verdicts and receipts. */
const responseOnlyNames = new Set([...hopByHopNames, headerNames.verdict, headerNames.receipt, headerNames.replayed, headerNames.leaving]);

function selectHeaders(headers: ReadonlyHeaders, excludedNames: ReadonlySet<string>): HeaderFields {
	const {connection} = headers;
	const connectionOptions = connection === undefined ? undefined : new Set(String(connection).toLowerCase().split(',').map(name => name.trim()));
	const selected: HeaderFields = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !excludedNames.has(name) && !connectionOptions?.has(name)) {
			selected[name] = value;
		}
	}

	return selected;
}

/** Selects the request fields to forward to the upstream (RFC 9110, section 7.6.1). */
export function selectRequestHeaders(headers: ReadonlyHeaders): HeaderFields {
	return selectHeaders(headers, requestOnlyNames);
}

/** Selects the response fields to forward to the caller (RFC 9110, section 7.6.1). */
export function selectResponseHeaders(headers: ReadonlyHeaders): HeaderFields {
	return selectHeaders(headers, responseOnlyNames);
}
