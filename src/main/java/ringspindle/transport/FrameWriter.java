package ringspindle.transport;

import java.nio.ByteBuffer;
import java.util.List;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable.InvocationType;
import ringspindle.peering.FrameQueue;
import ringspindle.protocol.Message;

/**
 * Writes the frames of one connection, batch by batch in the order of {@link FrameQueue}; what comes while a write runs goes
 * out with a later one. Thread safe.
 */
final class FrameWriter {
    /** What a frame that was handed over leads to. */
    private enum Step {
        /** The write that runs goes on with it. */
        WAIT,
        /** Nothing was being written. */
        WRITE,
        /** Too much waits; the frame is lost. */
        FAIL
    }

    private final EndPoint endPoint;
    private final Runnable onFailure;
    private final Object lock = new Object();
    private final FrameQueue queue = new FrameQueue();
    private boolean writing;

    /**
     * @param onFailure runs, without a lock held, when a write fails or too much waits; it is to close the connection
     */
    FrameWriter(EndPoint endPoint, Runnable onFailure) {
        this.endPoint = endPoint;
        this.onFailure = onFailure;
    }

    /** Sends a message, whose bytes are the body. */
    void write(Message message, byte[] body) {
        switch (add(message, body)) {
            case WRITE -> writePending();
            case FAIL -> onFailure.run();
            case WAIT -> {
                // the write that runs takes it along
            }
        }
    }

    /** The peer puts fragments together. */
    void allowFragments() {
        synchronized (lock) {
            queue.allowFragments();
        }
    }

    /** Bytes that the peer has not taken yet. */
    int pendingBytes() {
        synchronized (lock) {
            return queue.bytes();
        }
    }

    private Step add(Message message, byte[] body) {
        synchronized (lock) {
            if (!queue.add(message, body)) {
                return Step.FAIL;
            }
            Step step = writing ? Step.WAIT : Step.WRITE;
            writing = true;
            return step;
        }
    }

    private void writePending() {
        List<ByteBuffer> batch;
        synchronized (lock) {
            batch = queue.next();
            if (batch.isEmpty()) {
                writing = false;
                return;
            }
        }
        Callback written = Callback.from(InvocationType.NON_BLOCKING, this::writePending, failure -> onFailure.run());
        endPoint.write(written, batch.toArray(ByteBuffer[]::new));
    }
}
