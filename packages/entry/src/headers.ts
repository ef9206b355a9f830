/**
 * Names of header fields, and the fields that are not passed on.
 */

/** Fields of the caller interface, in lower case. */
export const headerNames = {
	/** Class of work: urgent, interactive or batch. */
	workClass: 'tamarackwind-class',
	/** Time left for the request, in milliseconds. */
	deadline: 'tamarackwind-deadline-ms',
	/** `true` or `false`; overrides what the method says. */
	idempotent: 'tamarackwind-idempotent',
	/** Key of a non-idempotent request, from the IETF draft on the Idempotency-Key field. */
	requestKey: 'idempotency-key',
	/** Number of the attempt that a caller makes with one request key, counted from 1. */
	attempt: 'tamarackwind-attempt',
	/** Proof that an earlier attempt was not run; answers give it and re-sent requests carry it. */
	receipt: 'tamarackwind-receipt',
	/** Verdict of a failed request. */
	verdict: 'tamarackwind-verdict',
	/** `true` on a stored answer that is given again. */
	replayed: 'tamarackwind-replayed',
	/** Id of one dispatch, which the upstream may send back. */
	requestId: 'tamarackwind-request-id',
	/** Id of the caller, as the entry tells it to the upstream. */
	caller: 'tamarackwind-caller',
	/** `true` on answers of an upstream that is about to leave. */
	leaving: 'tamarackwind-leaving',
} as const;

/** Header fields with their values, names in lower case. */
export type HeaderFields = Record<string, string | string[]>;

type ReadonlyHeaders = Readonly<Record<string, string | string[] | undefined>>;

const hopByHopNames = ['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade'];

/** Fields of a request that end at the entry. The caller's token is the entry's secret to check, not the upstream's. */
const requestOnlyNames = new Set([...hopByHopNames, 'authorization', 'expect', headerNames.deadline, headerNames.receipt, headerNames.caller, headerNames.requestId]);

/** Fields of an answer that end at the entry; verdicts and receipts are the entry's own. */
const answerOnlyNames = new Set([...hopByHopNames, headerNames.verdict, headerNames.receipt, headerNames.replayed, headerNames.leaving]);

function selectHeaders(headers: ReadonlyHeaders, dropped: ReadonlySet<string>): HeaderFields {
	const {connection} = headers;
	const listed = connection === undefined ? undefined : new Set(String(connection).toLowerCase().split(',').map(name => name.trim()));
	const selected: HeaderFields = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !dropped.has(name) && !listed?.has(name)) {
			selected[name] = value;
		}
	}

	return selected;
}

/** Copies the fields of a request that go on to the upstream; RFC 9110, section 7.6.1. */
export function selectRequestHeaders(headers: ReadonlyHeaders): HeaderFields {
	return selectHeaders(headers, requestOnlyNames);
}

/** Copies the fields of an answer that go on to the caller; RFC 9110, section 7.6.1. */
export function selectAnswerHeaders(headers: ReadonlyHeaders): HeaderFields {
	return selectHeaders(headers, answerOnlyNames);
}
