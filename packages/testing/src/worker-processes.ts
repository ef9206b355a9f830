/**
 * Starts child processes that serve workers.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {type WorkerPorts} from './worker-servers.js';

const mainFile = fileURLToPath(new URL('worker-host-main.js', import.meta.url));

/** A child process that serves several workers, such as those of one rack. */
export class WorkerProcess {
	/** Starts the process and waits until its workers are listening. */
	static async create(vmIds: readonly string[]): Promise<WorkerProcess> {
		const child = spawn(process.execPath, [mainFile, ...vmIds], {stdio: ['ignore', 'pipe', 'inherit']});
		const [line] = await once(createInterface(child.stdout), 'line') as [string];
		return new WorkerProcess(child, JSON.parse(line) as WorkerPorts);
	}

	readonly ports: WorkerPorts;
	readonly #child: ChildProcess;
	readonly #exit: Promise<unknown>;

	private constructor(child: ChildProcess, ports: WorkerPorts) {
		this.#child = child;
		this.ports = ports;
		this.#exit = once(child, 'exit');
	}

	kill(signal: NodeJS.Signals): void {
		this.#child.kill(signal);
	}

	async close(): Promise<void> {
		this.kill('SIGTERM');
		await this.#exit;
	}
}
