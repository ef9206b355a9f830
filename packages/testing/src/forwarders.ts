/**
 * The least forwarder that hono and undici allow: no verdicts, no limits, no choice. The baseline of the overhead bench.
 * Run as a process with the upstream's URL; prints its port.
 */
import process from 'node:process';
import {serve} from '@hono/node-server';
import {Hono} from 'hono';
import {Pool} from 'undici';

const connections = 512;
const upstream = new Pool(process.argv[2]!, {connections, pipelining: 1});
const app = new Hono();
app.get('/cpu', c => c.json(process.cpuUsage()));
app.all('/:service/*', async c => {
	const answer = await upstream.request({
		method: c.req.method,
		path: c.req.path.slice(c.req.param('service').length + 1),
		headers: {accept: c.req.header('accept') ?? '*/*'},
	});
	return new Response(answer.body, {status: answer.statusCode, headers: {'content-length': String(answer.headers['content-length'])}});
});
serve({fetch: app.fetch, hostname: '127.0.0.1', port: 0}, info => {
	process.stdout.write(`${info.port}\n`);
});
process.once('SIGTERM', () => {
	process.exit(0);
});
