/**
 * Entry point of a minimal reverse proxy with hono and undici, without verdicts, limits or worker selection: the baseline of the
 * overhead bench. Takes the upstream's URL as its argument and prints its port.
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
	const response = await upstream.request({
		method: c.req.method,
		path: c.req.path.slice(c.req.param('service').length + 1),
		headers: {accept: c.req.header('accept') ?? '*/*'},
	});
	return new Response(response.body, {status: response.statusCode, headers: {'content-length': String(response.headers['content-length'])}});
});
serve({fetch: app.fetch, hostname: '127.0.0.1', port: 0}, info => {
	process.stdout.write(`${info.port}\n`);
});
process.once('SIGTERM', () => {
	process.exit(0);
});
