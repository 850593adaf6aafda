package ringspindle.proxy;

import org.eclipse.jetty.util.thread.Invocable;

/** A task that never waits for anything, so that Jetty may run it on a selector's thread without a change of threads. */
interface NonBlockingTask extends Invocable.Task {
    @Override
    default InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }
}
