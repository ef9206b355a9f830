/**
 * The object store: named byte strings.
 */

export type PutOptions = {
	/** Leaves an object that already exists as it is. */
	readonly ifAbsent?: boolean;
};

/** Client of the object store. Methods throw a `VerdictError`. */
export abstract class ObjectStore {
	/** Stores an object; resolves to `false` when `ifAbsent` found one already there. */
	abstract putObject(name: string, bytes: Uint8Array, options?: PutOptions): Promise<boolean>;

	/** Reads an object. */
	abstract getObject(name: string): Promise<Uint8Array | undefined>;

	abstract deleteObject(name: string): Promise<void>;

	/** Lists the names that begin with `prefix`, in order. */
	abstract listObjects(prefix: string): Promise<string[]>;

	abstract close(): Promise<void>;
}
