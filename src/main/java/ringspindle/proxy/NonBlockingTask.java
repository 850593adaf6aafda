package ringspindle.proxy;

import org.eclipse.jetty.util.thread.Invocable;

/** A task that never blocks, so that Jetty may run it directly on a selector thread. */
interface NonBlockingTask extends Invocable.Task {
    @Override
    default InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }
}
