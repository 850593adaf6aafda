package ringspindle.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/** Reads a request's body, and no more of it than its bound. Whoever takes the body must not block. */
public final class BoundedBody implements NonBlockingTask {
    private final Request request;
    private final int most;
    private final Consumer<byte[]> then;
    private final Consumer<Throwable> failed;
    private final ByteArrayOutputStream out;

    /**
     * {@code new BoundedBody(request, 65536, body -> ..., x -> ...).run()} gives the body once it is whole, null as soon as
     * it is known to pass its bound.
     */
    public BoundedBody(Request request, int most, Consumer<byte[]> then, Consumer<Throwable> failed) {
        this.request = request;
        this.most = most;
        this.then = then;
        this.failed = failed;
        out = new ByteArrayOutputStream(Math.max(32, (int) Math.min(1 << 16, request.getLength())));
    }

    @Override
    public void run() {
        if (request.getLength() > most) {
            then.accept(null);
            return;
        }
        while (true) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                request.demand(this);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                failed.accept(chunk.getFailure());
                return;
            }
            ByteBuffer b = chunk.getByteBuffer();
            byte[] bytes = new byte[b.remaining()];
            b.get(bytes);
            out.writeBytes(bytes);
            boolean last = chunk.isLast();
            chunk.release();
            if (out.size() > most) {
                then.accept(null);
                return;
            }
            if (last) {
                then.accept(out.toByteArray());
                return;
            }
        }
    }
}
