package ringspindle.transport;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable.InvocationType;

/** Writes the frames of one connection in order; what comes while a write runs goes out with the next one. Thread safe. */
final class FrameWriter {
    /** A peer that lets more than this pile up has its connection closed, in bytes. */
    private static final int PENDING_MAX = 32 << 20;

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
    private final ArrayDeque<ByteBuffer> pending = new ArrayDeque<>();
    private int pendingBytes;
    private boolean writing;

    /**
     * @param onFailure runs, without a lock held, when a write fails or too much waits; it is to close the connection
     */
    FrameWriter(EndPoint endPoint, Runnable onFailure) {
        this.endPoint = endPoint;
        this.onFailure = onFailure;
    }

    /** Sends a frame of that body. */
    void write(byte[] body) {
        ByteBuffer frame = ByteBuffer.allocate(FrameDecoder.LENGTH_BYTES + body.length)
                .putInt(body.length)
                .put(body)
                .flip();
        switch (add(frame)) {
            case WRITE -> writePending();
            case FAIL -> onFailure.run();
            case WAIT -> {
                // the write that runs takes it along
            }
        }
    }

    private Step add(ByteBuffer frame) {
        synchronized (lock) {
            pendingBytes += frame.remaining();
            if (pendingBytes > PENDING_MAX) {
                return Step.FAIL;
            }
            pending.add(frame);
            Step step = writing ? Step.WAIT : Step.WRITE;
            writing = true;
            return step;
        }
    }

    private void writePending() {
        ByteBuffer[] batch;
        synchronized (lock) {
            if (pending.isEmpty()) {
                writing = false;
                return;
            }
            batch = pending.toArray(new ByteBuffer[0]);
            pending.clear();
            pendingBytes = 0;
        }
        endPoint.write(
                Callback.from(InvocationType.NON_BLOCKING, this::writePending, failure -> onFailure.run()), batch);
    }
}
