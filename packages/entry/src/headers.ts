/**
 * Names of header fields, and the fields that are not passed on.
 */

export const headerNames = {
	/** Class of work: urgent, interactive or batch. */
	workClass: 'tamarackwind-class',
	/** Time left for the request, in milliseconds. */
	deadline: 'tamarackwind-deadline-ms',
	/** `true` or `false`; overrides what the method says. */
	idempotent: 'tamarackwind-idempotent',
	/** Key of a non-idempotent request, from the IETF draft on the Idempotency-Key field. */
	requestKey: 'idempotency-key',
	/** Verdict of a failed request. */
	verdict: 'tamarackwind-verdict',
	/** Id of one dispatch, which the upstream may send back. */
	requestId: 'tamarackwind-request-id',
} as const;

const hopByHopNames = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade',
]);

/** Copies fields that go end to end; RFC 9110, section 7.6.1. */
export function selectEndToEndHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string | string[]> {
	const listed = new Set(String(headers.connection ?? '').toLowerCase().split(',').map(name => name.trim()));
	const selected: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		const key = name.toLowerCase();
		if (value !== undefined && !hopByHopNames.has(key) && !listed.has(key)) {
			selected[key] = value;
		}
	}

	return selected;
}
