/**
 * What entries may assume of each other's views of the settings and the fleet.
 */

/** Parts of an entry's view that have versions. */
export type ViewPart = 'settings' | 'fleet' | 'members';

/** The right of an entry to dispatch by its present view. */
export abstract class ViewLease {
	/** Tells whether no newer view can be in force elsewhere without this entry knowing. Read before each dispatch. */
	abstract isValid(): boolean;
}

/** Versions that this entry works by; heartbeats carry them. */
export class ViewVersions {
	static create(): ViewVersions {
		return new ViewVersions();
	}

	readonly #versions: Record<ViewPart, number> = {settings: 0, fleet: 0, members: 0};
	readonly #listeners: Array<(part: ViewPart, version: number) => void> = [];

	getVersion(part: ViewPart): number {
		return this.#versions[part];
	}

	/** Raises the version of a part; a lower one is ignored. */
	setVersion(part: ViewPart, version: number): void {
		if (version > this.#versions[part]) {
			this.#versions[part] = version;
			for (const listener of this.#listeners) {
				listener(part, version);
			}
		}
	}

	/** Calls `listener` with each raised version. */
	subscribe(listener: (part: ViewPart, version: number) => void): void {
		this.#listeners.push(listener);
	}
}

/** Waits until no entry serves by an older view. */
export abstract class VersionBarrier {
	/** Resolves to `true` once every live entry works by `version` or can't dispatch by an older one, to `false` when `timeoutMs` ran out first. */
	abstract waitForVersion(part: ViewPart, version: number, timeoutMs: number): Promise<boolean>;
}

/** Stands for a deployment of one entry, which always knows its own view. */
export class SoleEntryLease extends ViewLease {
	static create(): SoleEntryLease {
		return new SoleEntryLease();
	}

	override isValid(): boolean {
		return true;
	}
}

/** Stands for a deployment of one entry, which serves by its own view. */
export class SoleEntryBarrier extends VersionBarrier {
	static create(versions: ViewVersions): SoleEntryBarrier {
		return new SoleEntryBarrier(versions);
	}

	readonly #versions: ViewVersions;

	private constructor(versions: ViewVersions) {
		super();
		this.#versions = versions;
	}

	override async waitForVersion(part: ViewPart, version: number): Promise<boolean> {
		return this.#versions.getVersion(part) >= version;
	}
}
