package ringspindle.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/** Reads a request body up to a maximum size. The callbacks must not block. */
public final class BoundedBody implements NonBlockingTask {
    private final Request request;
    private final int maxBytes;
    private final Consumer<byte[]> onBody;
    private final Consumer<Throwable> onFailure;
    private final ByteArrayOutputStream collected;

    /**
     * Creates a reader; {@code new BoundedBody(request, 65536, body -> ..., failure -> ...).run()} passes on the body once it
     * is complete, or null as soon as it is known to exceed the maximum.
     */
    public BoundedBody(Request request, int maxBytes, Consumer<byte[]> onBody, Consumer<Throwable> onFailure) {
        this.request = request;
        this.maxBytes = maxBytes;
        this.onBody = onBody;
        this.onFailure = onFailure;
        collected = new ByteArrayOutputStream(Math.max(32, (int) Math.min(1 << 16, request.getLength())));
    }

    @Override
    public void run() {
        if (request.getLength() > maxBytes) {
            onBody.accept(null);
            return;
        }
        while (true) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                request.demand(this);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                onFailure.accept(chunk.getFailure());
                return;
            }
            ByteBuffer buffer = chunk.getByteBuffer();
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            collected.writeBytes(bytes);
            boolean last = chunk.isLast();
            chunk.release();
            if (collected.size() > maxBytes) {
                onBody.accept(null);
                return;
            }
            if (last) {
                onBody.accept(collected.toByteArray());
                return;
            }
        }
    }
}
