/** Tests that measure the memory and descriptors of a process, one at a time and without other tests beside them. */
export const serialFiles = ['platform/dist/tests/caller-limits.test.js'];

const config = {
	files: serialFiles,
	timeout: '3m',
	workerThreads: false,
	concurrency: 1,
};

export default config;
