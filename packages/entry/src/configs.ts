/**
 * Configuration of one entry daemon.
 */
import {readFile} from 'node:fs/promises';
import {parseJsonc} from '@tamarackwind/settings';
import * as z from 'zod';

const portSchema = z.number().int().min(0).max(65_535);

const tlsSchema = z.strictObject({
	certFile: z.string(),
	keyFile: z.string(),
	/** CA certificate that must have signed the certificate of the other side. */
	caFile: z.string().optional(),
});

const listenerSchema = z.strictObject({
	/** IP address to listen on. */
	host: z.string(),
	/** Port to listen on; 0 selects a free port. */
	port: portSchema,
	tls: tlsSchema.optional(),
});

export const entryConfigSchema = z.strictObject({
	entryId: z.string(),
	deployment: z.string(),
	region: z.string(),
	zone: z.string(),
	caller: listenerSchema,
	operator: listenerSchema,
	peer: listenerSchema.extend({tls: tlsSchema.required().optional()}),
	metrics: listenerSchema,
	platform: z.strictObject({
		url: z.url(),
		/** File with the bearer token for the platform. */
		tokenFile: z.string().optional(),
		timeoutMs: z.number().int().positive().optional(),
	}),
	/**
	 * Hash of the bearer token of an operator with all rights, valid while the settings contain no operator: "sha256:"
	 * and 64 hexadecimal digits.
	 */
	operatorTokenHash: z.string().regex(/^sha256:[\da-f]{64}$/v, 'expected "sha256:" and 64 hexadecimal digits').optional(),
	/** Entries to connect to until the platform's VM list is read. */
	peers: z.array(z.strictObject({entryId: z.string(), address: z.string(), port: portSchema})).default([]),
	/**
	 * File with the key, shared by all entries, that signs receipts. Services with claims "first-attempt-unclaimed"
	 * require it.
	 */
	receiptKeyFile: z.string().optional(),
	log: z.strictObject({format: z.enum(['plain', 'json'])}).default({format: 'json'}),
	/**
	 * Time between SIGTERM and the refusal of new connections, in milliseconds. It lets the load balancer notice the
	 * failed readiness check.
	 */
	balancerDelayMs: z.number().int().nonnegative().default(2000),
	/** Longest time that a graceful shutdown waits for requests in flight, in milliseconds. */
	shutdownTimeoutMs: z.number().int().positive().default(600_000),
});

/** Configuration of one entry daemon, with defaults applied. */
export type EntryConfig = z.infer<typeof entryConfigSchema>;

/**
 * Reads the daemon's configuration file.
 *
 * @throws {IssuesError} with the file, line and path of each issue.
 */
export async function loadEntryConfig(file: string): Promise<EntryConfig> {
	return parseJsonc(entryConfigSchema, await readFile(file, 'utf8'), file);
}
