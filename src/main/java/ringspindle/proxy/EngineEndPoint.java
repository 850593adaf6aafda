package ringspindle.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;
import ringspindle.transport.PlainConnector;

/**
 * The end point of a connection to an engine. Jetty's own reports a connection that was reset as one that was closed in
 * order, so that an answer whose end is the end of its connection would look complete. This one reports the failure.
 */
final class EngineEndPoint extends SocketChannelEndPoint {
    /** Opens connections whose end points are of this kind. */
    static final class Connector extends PlainConnector {
        @Override
        protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
            return new EngineEndPoint((SocketChannel) channel, selector, key, getScheduler());
        }
    }

    /** Why reading ended other than by an orderly close; null while it did not. */
    private IOException readFailure;

    private EngineEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /**
     * Reads what has come.
     *
     * @return the number of bytes read, 0 if none are there, -1 once the engine has closed its side in order
     * @throws IOException if the connection was reset or closed here; thrown again by every later call
     */
    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (readFailure != null) {
            throw new IOException(readFailure);
        }
        if (isInputShutdown()) {
            return -1;
        }
        int position = BufferUtil.flipToFill(buffer);
        try {
            int filled = getChannel().read(buffer);
            if (filled > 0) {
                notIdle();
            } else if (filled < 0) {
                shutdownInput();
            }
            return filled;
        } catch (IOException failure) {
            readFailure = failure;
            throw failure;
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
    }
}
