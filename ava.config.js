import {serialFiles} from './ava.serial.config.js';

const config = {
	files: ['packages/*/dist/tests/**/*.test.js', 'platform/dist/tests/**/*.test.js', ...serialFiles.map(file => `!${file}`)],
	timeout: '3m',
	workerThreads: false,
	concurrency: 4,
};

export default config;
