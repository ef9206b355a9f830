/**
 * Tracks whether the bytes of a request may have left this process, which decides the verdict of a request without a response.
 */
import {DecoratorHandler, type Dispatcher} from 'undici';

/** Whether a request has been written to a connection. */
export type SendState = {isSent: boolean};

/** Options of a request together with the state that its connection updates. */
export type TrackedOptions = Dispatcher.DispatchOptions & {readonly sendState?: SendState};

/** Marks a request as sent immediately before it is written to a connection; the wrapped handler aborts one that has timed out by then. */
class SendTracker extends DecoratorHandler implements Dispatcher.DispatchHandler {
	constructor(private readonly handler: Dispatcher.DispatchHandler, private readonly state: SendState) {
		super(handler);
	}

	onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
		this.handler.onRequestStart?.(controller, context);
		this.state.isSent = !controller.aborted;
	}
}

/** Rejects with the signal's reason if the request is still unsent when the signal aborts; without this it would wait for its connection. */
export async function waitForUnsentTimeout(signal: AbortSignal, state: SendState): Promise<never> {
	return new Promise((_resolve, reject) => {
		signal.addEventListener('abort', () => {
			if (!state.isSent) {
				reject(signal.reason as Error);
			}
		}, {once: true});
	});
}

/** Interceptor that updates the `sendState` of each request that has one. */
export const trackSends: Dispatcher.DispatcherComposeInterceptor = dispatch => (options, handler) => {
	const {sendState} = options as TrackedOptions;
	return dispatch(options, sendState === undefined ? handler : new SendTracker(handler, sendState));
};
