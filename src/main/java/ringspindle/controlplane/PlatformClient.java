package ringspindle.controlplane;

import java.net.URI;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.util.thread.Scheduler;
import ringspindle.protocol.NodeId;

/** Calls the platform on behalf of whoever has a duty. Thread safe. */
public final class PlatformClient {
    /** What is told of a call that has no answer. */
    static final int NO_ANSWER = 0;

    /** A call that takes longer is given up, and its connection closed: it must not arrive much later. */
    private static final int TIMEOUT_MS = 900;

    private static final int BODY_MAX = 64 << 10;
    private static final String OWNER = "Duty-Owner";
    private static final String FENCE = "Fence-Token";

    private final LazyHttpClient client;

    /** Calls on those threads. */
    public PlatformClient(Executor pool, Scheduler scheduler) {
        client = new LazyHttpClient(pool, scheduler, TIMEOUT_MS);
    }

    /**
     * Posts a JSON document.
     *
     * @param owner the name of the node that has the duty
     * @param fence a number that rises whenever another node has it
     * @param answered told the status of the answer, {@link #NO_ANSWER} without one
     */
    void post(NodeId address, String path, String owner, long fence, String json, IntConsumer answered) {
        try {
            client.get()
                    .newRequest(URI.create("http://" + address + path))
                    .method(HttpMethod.POST)
                    .headers(fields -> fields.put(OWNER, owner).put(FENCE, Long.toString(fence)))
                    .body(new StringRequestContent("application/json", json))
                    .timeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .send(new BufferingResponseListener(BODY_MAX) {
                        @Override
                        public void onComplete(Result result) {
                            answered.accept(
                                    result.isSucceeded() ? result.getResponse().getStatus() : NO_ANSWER);
                        }
                    });
        } catch (Exception failed) {
            answered.accept(NO_ANSWER);
        }
    }
}
