/**
 * Schemas of the settings tree as written by operators.
 */
import * as z from 'zod';

const idSchema = z.string().regex(/^[A-Za-z\d](?:[\w.:]|-){0,127}$/v, 'expected letters, digits, "_", ".", ":" and "-"');
const durationMsSchema = z.number().int().positive();
const countSchema = z.number().int().nonnegative();
const fractionSchema = z.number().min(0).max(1);

/** Classes of work, from the most urgent to the least. */
export const workClasses = ['urgent', 'interactive', 'batch'] as const;

export const workClassSchema = z.enum(workClasses);

/** Class of work of a request or job. */
export type WorkClass = z.infer<typeof workClassSchema>;

/** Values of a service; inherited values may be omitted. */
export const serviceValuesSchema = z.strictObject({
	/** Deadline of requests whose caller sets none, in milliseconds. */
	deadlineMs: durationMsSchema,
	/** Longest deadline that a caller may set, in milliseconds. */
	maxDeadlineMs: durationMsSchema,
	/** Class of requests whose caller sets none. */
	defaultClass: workClassSchema,
	/** Largest request body, in bytes. */
	maxBodyBytes: countSchema,
	/** Whether a non-idempotent request may run while its claim can't be written. */
	claims: z.enum(['required', 'first-attempt-unclaimed']),
	/** Time for which the claim of an idempotency key is retained, in milliseconds. */
	keyRetentionMs: durationMsSchema,
	/** Maximum number of dispatches of one request, including the first. */
	maxAttempts: z.number().int().min(1),
	/** Retries allowed per first attempt, for a pool and for each caller. */
	retryBudget: fractionSchema,
	/** Whether upstreams must echo the request id in their responses. */
	requestIdEcho: z.enum(['required', 'optional']),
});

/** Resolved values of a service. */
export type ServiceValues = z.infer<typeof serviceValuesSchema>;

const shareSchema = z.strictObject({
	/** Weight relative to the other classes while all of them wait. */
	weight: z.number().positive(),
	/** Fraction of a pool's slots that is guaranteed to the class while it has work. */
	floor: fractionSchema,
});

/** Weight and floor of one class of work. */
export type ClassShare = z.infer<typeof shareSchema>;

const budgetSchema = z.strictObject({
	/** VMs that may be unavailable at once: a count, or a percentage of the pool such as "25%". */
	maxUnavailable: z.union([countSchema, z.string().regex(/^\d{1,3}%$/v, 'expected a count or a percentage such as "25%"')]),
	/** Availability zones in which VMs may be unavailable at once. */
	maxZones: z.number().int().min(1),
	/** VMs of one rack that may be unavailable at once. */
	maxPerRack: countSchema,
});

/** Availability budget of a pool. */
export type Budget = z.infer<typeof budgetSchema>;

/** Values of a pool; inherited values may be omitted. */
export const poolValuesSchema = z.strictObject({
	/** Desired number of VMs; if omitted, the pool keeps its current VMs. */
	size: countSchema.optional(),
	/** Number of requests that one VM runs concurrently. */
	slotsPerVm: z.number().int().min(1),
	/** Maximum number of connections to one VM, summed over all entries. */
	connectionsPerVm: z.number().int().min(1),
	/** Fraction of the pool's VMs that may be set aside as failing. */
	maxSetAside: fractionSchema,
	/** Whether VMs are taken from this pool first when other pools need them. */
	isSpare: z.boolean(),
	budget: budgetSchema,
	shares: z.strictObject({urgent: shareSchema, interactive: shareSchema, batch: shareSchema}),
});

/** Resolved values of a pool. */
export type PoolValues = z.infer<typeof poolValuesSchema>;

const partialServiceValuesSchema = serviceValuesSchema.partial();
const partialPoolShape = {
	...poolValuesSchema.partial().shape,
	budget: budgetSchema.partial().optional(),
	shares: z.strictObject({urgent: shareSchema.partial().optional(), interactive: shareSchema.partial().optional(), batch: shareSchema.partial().optional()}).optional(),
};

const poolNodeSchema = z.strictObject({
	...partialPoolShape,
	/** Values that the pool's services inherit. */
	service: partialServiceValuesSchema.optional(),
	/** Services that the pool runs. */
	services: z.record(idSchema, partialServiceValuesSchema),
});

const tokenHashSchema = z.string().regex(/^sha256:[\da-f]{64}$/v, 'expected "sha256:" and 64 hexadecimal digits');

const callerSchema = z.strictObject({
	/** Hashes of the bearer tokens that the caller may use. */
	tokenHashes: z.array(tokenHashSchema),
	/** Weight relative to other callers of the same class. */
	weight: z.number().positive().optional(),
	/** Services that the caller may use; all if omitted. */
	services: z.array(idSchema).optional(),
	/** Team whose quota the caller's jobs count against. */
	team: idSchema.optional(),
});

const operatorSchema = z.strictObject({
	tokenHashes: z.array(tokenHashSchema),
	/** Paths of the tree that the operator may change, such as "deployments.fixture.pools.north"; "" is the whole tree. */
	rights: z.array(z.string()),
});

const teamSchema = z.strictObject({
	/** Cores guaranteed to the team's jobs while all other teams use their own. */
	cores: z.number().nonnegative(),
	memoryMb: z.number().nonnegative(),
	accelerators: z.number().nonnegative(),
});

const deploymentSchema = z.strictObject({
	service: partialServiceValuesSchema.optional(),
	pool: z.strictObject(partialPoolShape).optional(),
	pools: z.record(idSchema, poolNodeSchema),
	callers: z.record(idSchema, callerSchema).optional(),
	teams: z.record(idSchema, teamSchema).optional(),
});

/** Schema of the whole tree: root defaults, deployments, pools, services. */
export const settingsTreeSchema = z.strictObject({
	/** Values that every service inherits. */
	service: partialServiceValuesSchema.optional(),
	/** Values that every pool inherits. */
	pool: z.strictObject(partialPoolShape).optional(),
	deployments: z.record(idSchema, deploymentSchema),
	operators: z.record(idSchema, operatorSchema).optional(),
});

/** Settings tree as written, without inherited values. */
export type SettingsTree = z.infer<typeof settingsTreeSchema>;
