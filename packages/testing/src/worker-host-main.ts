/**
 * Entry point of a process that serves the workers named by its arguments and prints their ports as one line of JSON.
 */
import process from 'node:process';
import {WorkerServer, type WorkerPorts} from './worker-servers.js';

const servers = await Promise.all(process.argv.slice(2).map(async vmId => WorkerServer.create(vmId)));
const ports: WorkerPorts = Object.fromEntries(servers.map(server => [server.vmId, server.port]));
process.stdout.write(`${JSON.stringify(ports)}\n`);
process.once('SIGTERM', () => {
	void Promise.all(servers.map(async server => server.close()));
});
