/**
 * Starts and stops entry processes for tests.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {hashToken} from '@tamarackwind/entry';
import {request} from 'undici';

const mainFile = fileURLToPath(import.meta.resolve('tamarackwind/main'));

/** Bearer token that entries accept from operators until the settings define operators. */
export const operatorToken = 'test-operator';

const loopback = {host: '127.0.0.1', port: 0};

/** Creates the daemon configuration of an entry that listens on free loopback ports. */
export function createEntryConfig(entryId: string, platformUrl: string): Record<string, unknown> {
	return {
		entryId,
		deployment: 'fixture',
		region: 'region-1',
		zone: 'zone-1',
		caller: loopback,
		operator: loopback,
		peer: loopback,
		metrics: loopback,
		platform: {url: platformUrl},
		operatorTokenHash: hashToken(operatorToken),
		balancerDelayMs: 50,
	};
}

/** An entry in a child process. */
export class EntryProcess {
	/** Starts an entry and waits until it logs its ports. */
	static async create(config: Record<string, unknown>): Promise<EntryProcess> {
		const folder = await mkdtemp(path.join(tmpdir(), 'tamarackwind-'));
		const file = path.join(folder, 'entry.jsonc');
		await writeFile(file, JSON.stringify(config));
		const child = spawn(process.execPath, [mainFile, 'entry', '--config', file], {stdio: ['ignore', 'ignore', 'pipe']});
		const entry = new EntryProcess(child);
		await entry.#waitForPorts();
		return entry;
	}

	readonly logLines: string[] = [];
	ports: Readonly<Record<string, number>> = {};
	readonly #child: ChildProcess;
	readonly #exit: Promise<number | undefined>;

	private constructor(child: ChildProcess) {
		this.#child = child;
		this.#exit = new Promise(resolve => {
			child.once('exit', code => {
				resolve(code ?? undefined);
			});
		});
	}

	/** URL of one of the entry's ports, such as `caller`. */
	getUrl(port: string): string {
		return `http://127.0.0.1:${this.ports[port]}`;
	}

	/** Sends a request to the operator port. */
	async callOperator<T = Record<string, unknown>>(method: 'GET' | 'POST' | 'PUT' | 'DELETE', path: string, json?: unknown, token = operatorToken): Promise<{readonly status: number; readonly body: T}> {
		const {statusCode, body} = await request(`${this.getUrl('operator')}${path}`, {
			method,
			headers: {authorization: `Bearer ${token}`, 'content-type': 'application/json'},
			body: json === undefined ? undefined : JSON.stringify(json),
		});
		return {status: statusCode, body: await body.json() as T};
	}

	/** Reports whether the load balancer may route callers to the entry. */
	async isReady(): Promise<boolean> {
		const {statusCode, body} = await request(`${this.getUrl('metrics')}/readyz`);
		await body.dump();
		return statusCode === 200;
	}

	get pid(): number {
		return this.#child.pid!;
	}

	kill(signal: NodeJS.Signals): void {
		this.#child.kill(signal);
	}

	/** Resolves to the exit code, or `undefined` after a signal. */
	async waitForExit(): Promise<number | undefined> {
		return this.#exit;
	}

	async close(): Promise<void> {
		this.kill('SIGKILL');
		await this.#exit;
	}

	async #waitForPorts(): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			let incompleteLine = '';
			this.#child.stderr!.setEncoding('utf8').on('data', (text: string) => {
				const lines = (incompleteLine + text).split('\n');
				incompleteLine = lines.pop()!;
				this.logLines.push(...lines);
				const startedLine = lines.find(line => line.includes('"entry started"'));
				if (startedLine !== undefined) {
					this.ports = JSON.parse(startedLine) as Record<string, number>;
					resolve();
				}
			});
			this.#child.once('exit', () => {
				reject(new Error(`entry exited before it started: ${this.logLines.join('\n')}`));
			});
		});
	}
}

/** Polls until a condition holds; rejects after the timeout. */
export async function waitUntil(condition: () => boolean | Promise<boolean>, timeoutMs = 20_000): Promise<void> {
	const timeoutAt = Date.now() + timeoutMs;
	while (!(await condition())) {
		if (Date.now() > timeoutAt) {
			throw new Error(`condition did not hold within ${timeoutMs} ms`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
	}
}
