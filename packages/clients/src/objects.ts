/**
 * Client interface of the object store, which holds named byte strings.
 */

export type PutOptions = {
	/** Whether to keep an existing object instead of overwriting it. */
	readonly ifAbsent?: boolean;
};

/** Client of the object store. Methods throw a `VerdictError`. */
export abstract class ObjectStore {
	/** Stores an object; resolves to `false` when `ifAbsent` is set and the object exists. */
	abstract putObject(name: string, bytes: Uint8Array, options?: PutOptions): Promise<boolean>;

	/** Reads an object; resolves to `undefined` when it does not exist. */
	abstract getObject(name: string): Promise<Uint8Array | undefined>;

	abstract deleteObject(name: string): Promise<void>;

	/** Lists the names that begin with `prefix`, sorted. */
	abstract listObjects(prefix: string): Promise<string[]>;

	abstract close(): Promise<void>;
}
