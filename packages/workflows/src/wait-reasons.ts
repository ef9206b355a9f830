/**
 * Why a task that could run has no run:
 * - `no-matching-worker`: no worker that accepts work has the label and the size that it needs.
 * - `fleet-too-small`: no VM of any pool could hold it, or all of them together its gang, if nothing else ran there.
 * - `no-room`: the workers that could run it are full.
 * - `suspect`: a worker has crashed under it, and those with room are testing other suspects.
 * - `account-share`: the workers that could run it are full, and its account uses its share of the pool.
 * - `gang-no-room`: its gang does not fit.
 * - `no-ticket`: the placement policy has allowed no worker yet.
 * - `account-cap`: its account uses all that it may have running, what is left is kept for a step of the account that has waited for longer, or the
 *   holder does not know yet what the account uses.
 * - `deferred`: the pool's capacity is not enough for all jobs that can be in time, and others are served before its own.
 * - `not-reached`: no planning pass has come to it.
 * - `restart-delay`: its last run failed a moment ago.
 * - `recording`: its assignment is being written.
 * - `start-queued`: its start waits for earlier orders to its worker, or all workers with room have enough of such starts.
 * - `unconfirmed`: its worker has not confirmed the start.
 * - `stopping`: its last run is not known to have ended.
 */
export type WaitReason = 'no-matching-worker' | 'fleet-too-small' | 'no-room' | 'suspect' | 'gang-no-room' | 'no-ticket' | 'account-cap' | 'account-share' | 'deferred' | 'not-reached' | 'restart-delay' | 'recording' | 'start-queued' | 'unconfirmed' | 'stopping';

/** Reasons of tasks that a further worker of the pool could run. */
export const roomReasons = ['no-room', 'gang-no-room', 'account-share', 'deferred'] as const satisfies readonly WaitReason[];

/** Reasons of tasks that a worker which takes no work now could run: passes do not look at such workers, so a task that no other could hold is not told that it waits for room. */
export const workerReasons = [...roomReasons, 'no-matching-worker', 'no-ticket'] as const satisfies readonly WaitReason[];

/** Further reasons of tasks that have no worker assigned. While no worker of the pool takes work, passes judge none of them, and any worker could run them. */
export const unplacedReasons = ['no-matching-worker', 'suspect', 'no-ticket', 'account-cap', 'not-reached'] as const satisfies readonly WaitReason[];

/** Waiting steps that are placed one after the other. */
export type WaitQueue = {
	/** Why the last planning pass left the rest of the queue alone. */
	readonly reason: WaitReason | undefined;
	/** Whether the account of the steps uses its share of the pool. */
	readonly isOverShare: boolean;
};
