const config = {
	files: ['packages/*/dist/tests/**/*.test.js', 'platform/dist/tests/**/*.test.js'],
	timeout: '3m',
	workerThreads: false,
	concurrency: 4,
};

export default config;
