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
 * End point of a connection to an engine that reports a reset as a failure. Jetty's own end point reports a reset like
 * an orderly close, so a truncated response that is delimited by the end of its connection would look complete.
 */
final class EngineEndPoint extends SocketChannelEndPoint {
    /** Opens connections with end points of this type. */
    static final class Connector extends PlainConnector {
        @Override
        protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
            return new EngineEndPoint((SocketChannel) channel, selector, key, getScheduler());
        }
    }

    /** The failure that ended reading; null as long as there was none. */
    private IOException readFailure;

    private EngineEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /**
     * Reads the bytes that are available.
     *
     * @return the number of bytes read, 0 if none are available, -1 after an orderly close by the engine
     * @throws IOException if the connection was reset or closed by this side; thrown again by every later call
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
