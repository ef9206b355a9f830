/**
 * Schemas of the tree of settings as operators write it.
 */
import {z} from 'zod';

const idSchema = z.string().regex(/^[A-Za-z\d](?:[\w.:]|-){0,127}$/v, 'expected letters, digits, "_", ".", ":" and "-"');
const durationMsSchema = z.number().int().positive();
const countSchema = z.number().int().nonnegative();
const fractionSchema = z.number().min(0).max(1);

/** Classes of work, from the most urgent to the least. */
export const workClasses = ['urgent', 'interactive', 'batch'] as const;

export const workClassSchema = z.enum(workClasses);

/** Class of work of a request or job. */
export type WorkClass = z.infer<typeof workClassSchema>;

/** Values of a service; any may be left out where it is inherited. */
export const serviceValuesSchema = z.strictObject({
	/** Time a request may take when its caller names no deadline. */
	deadlineMs: durationMsSchema,
	/** Longest time that a caller may ask for. */
	maxDeadlineMs: durationMsSchema,
	/** Class of requests that name none. */
	defaultClass: workClassSchema,
	/** Largest request body, in bytes. */
	maxBodyBytes: countSchema,
	/** Whether a non-idempotent request may run while its claim can't be written. */
	claims: z.enum(['required', 'first-attempt-unclaimed']),
	/** Time for which the claim of a request key is kept. */
	keyRetentionMs: durationMsSchema,
	/** Dispatches of one request, the first included. */
	maxAttempts: z.number().int().min(1),
	/** Retries allowed per request served, over a pool. */
	retryBudget: fractionSchema,
	/** Whether upstreams must send the request id back in their answers. */
	requestIdEcho: z.enum(['required', 'optional']),
});

/** Values of a service, all resolved. */
export type ServiceValues = z.infer<typeof serviceValuesSchema>;

const shareSchema = z.strictObject({
	/** Weight against the other classes when all of them wait. */
	weight: z.number().positive(),
	/** Part of a pool's slots that the class gets whenever it has work. */
	floor: fractionSchema,
});

/** Weight and floor of one class of work. */
export type ClassShare = z.infer<typeof shareSchema>;

const budgetSchema = z.strictObject({
	/** VMs that may be out at once: a count, or a percentage of the pool such as "25%". */
	maxUnavailable: z.union([countSchema, z.string().regex(/^\d{1,3}%$/v, 'expected a count or a percentage such as "25%"')]),
	/** Availability zones in which VMs may be out at once. */
	maxZones: z.number().int().min(1),
	/** VMs of one rack that may be out at once. */
	maxPerRack: countSchema,
});

/** Availability budget of a pool. */
export type Budget = z.infer<typeof budgetSchema>;

/** Values of a pool; any may be left out where it is inherited. */
export const poolValuesSchema = z.strictObject({
	/** VMs that the pool should hold; without it the pool keeps what it has. */
	size: countSchema.optional(),
	/** Requests that one VM runs at once. */
	slotsPerVm: z.number().int().min(1),
	/** Connections to one VM, summed over all entries. */
	connectionsPerVm: z.number().int().min(1),
	/** Part of the pool's VMs that may be set aside as failing. */
	maxSetAside: fractionSchema,
	/** Whether the pool lends its VMs to others before any other does. */
	isSpare: z.boolean(),
	budget: budgetSchema,
	shares: z.strictObject({urgent: shareSchema, interactive: shareSchema, batch: shareSchema}),
});

/** Values of a pool, all resolved. */
export type PoolValues = z.infer<typeof poolValuesSchema>;

const partialServiceSchema = serviceValuesSchema.partial();
const partialPoolShape = {
	...poolValuesSchema.partial().shape,
	budget: budgetSchema.partial().optional(),
	shares: z.strictObject({urgent: shareSchema.partial().optional(), interactive: shareSchema.partial().optional(), batch: shareSchema.partial().optional()}).optional(),
};

const poolNodeSchema = z.strictObject({
	...partialPoolShape,
	/** Values that the pool's services inherit. */
	service: partialServiceSchema.optional(),
	/** Services that the pool runs. */
	services: z.record(idSchema, partialServiceSchema),
});

const tokenHashSchema = z.string().regex(/^sha256:[\da-f]{64}$/v, 'expected "sha256:" and 64 hexadecimal digits');

const callerSchema = z.strictObject({
	/** Hashes of the bearer tokens that the caller may use. */
	tokenHashes: z.array(tokenHashSchema),
	/** Share of a pool against other callers of the same class. */
	weight: z.number().positive().optional(),
	/** Services that the caller may use; all when left out. */
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
	/** Cores that the team's jobs may hold when every other team wants its own. */
	cores: z.number().nonnegative(),
	memoryMb: z.number().nonnegative(),
	accelerators: z.number().nonnegative(),
});

const deploymentSchema = z.strictObject({
	service: partialServiceSchema.optional(),
	pool: z.strictObject(partialPoolShape).optional(),
	pools: z.record(idSchema, poolNodeSchema),
	callers: z.record(idSchema, callerSchema).optional(),
	teams: z.record(idSchema, teamSchema).optional(),
});

/** The whole tree: root defaults, deployments, pools, services. */
export const settingsTreeSchema = z.strictObject({
	/** Values that every service inherits. */
	service: partialServiceSchema.optional(),
	/** Values that every pool inherits. */
	pool: z.strictObject(partialPoolShape).optional(),
	deployments: z.record(idSchema, deploymentSchema),
	operators: z.record(idSchema, operatorSchema).optional(),
});

/** The tree of settings as written, with values left out where they are inherited. */
export type SettingsTree = z.infer<typeof settingsTreeSchema>;
