/**
 * Process that hosts the workers named by its arguments and tells their ports on one line of standard output.
 */
import process from 'node:process';
import {WorkerHost, type HostedPorts} from './worker-hosts.js';

const hosts = await Promise.all(process.argv.slice(2).map(async vmId => WorkerHost.create(vmId)));
const ports: HostedPorts = Object.fromEntries(hosts.map(host => [host.vmId, host.port]));
process.stdout.write(`${JSON.stringify(ports)}\n`);
process.once('SIGTERM', () => {
	void Promise.all(hosts.map(async host => host.close()));
});
