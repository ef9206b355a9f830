/**
 * Components that the ports and services of an entry share.
 */
import {readFile} from 'node:fs/promises';
import {
	Log, SystemClock, SystemRandom, type Clock, type RandomSource,
} from '@tamarackwind/core';
import {FleetView} from '@tamarackwind/fleet';
import {ViewVersions} from '@tamarackwind/peer';
import {
	HttpObjectStore, HttpTableService, HttpTaskControl, HttpVmControl, HttpVmList, PlatformConnection,
	type ObjectStore, type TableService, type TaskControl, type VmControl, type VmList,
} from '@tamarackwind/clients';
import {Registry} from 'prom-client';
import {type EntryConfig} from './configs.js';
import {createControlPlane, type ControlPlane, type ControlPlaneOptions} from './control-planes.js';
import {SettingsView} from './settings-views.js';

/** Clients of the platform's services. */
export type PlatformClients = {
	readonly tables: TableService;
	readonly objects: ObjectStore;
	readonly vmList: VmList;
	readonly vmControl: VmControl;
	readonly tasks: TaskControl;
};

/** Shared components of an entry. */
export type EntryContext = Omit<ControlPlane, 'close'> & ControlPlaneOptions & {
	/** Closes the components in order. */
	readonly close: () => Promise<void>;
};

/** Creates the shared components of an entry. */
export async function createEntryContext(config: EntryConfig): Promise<EntryContext> {
	const clock = SystemClock.create();
	const log = Log.create({format: config.log.format, fields: {entry: config.entryId}});
	const {url, timeoutMs, tokenFile} = config.platform;
	const token = tokenFile === undefined ? undefined : (await readFile(tokenFile, 'utf8')).trim();
	const connection = PlatformConnection.create({url, timeoutMs, token});
	const platform = {
		tables: HttpTableService.create(connection),
		objects: HttpObjectStore.create(connection),
		vmList: HttpVmList.create(connection),
		vmControl: HttpVmControl.create(connection),
		tasks: HttpTaskControl.create(connection),
	};
	const random = SystemRandom.create();
	const registry = new Registry();
	const versions = ViewVersions.create();
	const settings = SettingsView.create({log, versions, deployment: config.deployment});
	const fleet = FleetView.create({
		clock, tables: platform.tables, vmList: platform.vmList, versions,
	});
	const base = {
		config, clock, random, log, registry, platform, versions, settings, fleet,
	};
	const control = await createControlPlane(base);
	return {
		...base,
		...control,
		async close() {
			await control.close();
			await fleet.close();
			await connection.close();
		},
	};
}
