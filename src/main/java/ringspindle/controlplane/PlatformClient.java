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

/** Sends HTTP requests to the platform for the node that holds the head lease. Thread safe. */
public final class PlatformClient {
    /** Status that is reported if there is no response. */
    static final int NO_RESPONSE = 0;

    /** Requests are aborted and their connection closed after this time, so that they cannot arrive much later. */
    private static final int TIMEOUT_MS = 900;

    private static final int MAX_BODY_BYTES = 64 << 10;
    private static final String OWNER_HEADER = "Duty-Owner";
    private static final String FENCING_TOKEN_HEADER = "Fence-Token";

    private final LazyHttpClient client;

    /** Creates a client that uses the given threads. */
    public PlatformClient(Executor pool, Scheduler scheduler) {
        client = new LazyHttpClient(pool, scheduler, TIMEOUT_MS);
    }

    /**
     * Posts a JSON document.
     *
     * @param owner the name of the node that holds the head lease
     * @param fencingToken a number that increases whenever another node takes over
     * @param statusCallback receives the response status, or {@link #NO_RESPONSE}
     */
    void post(NodeId address, String path, String owner, long fencingToken, String json, IntConsumer statusCallback) {
        try {
            client.get()
                    .newRequest(URI.create("http://" + address + path))
                    .method(HttpMethod.POST)
                    .headers(fields ->
                            fields.put(OWNER_HEADER, owner).put(FENCING_TOKEN_HEADER, Long.toString(fencingToken)))
                    .body(new StringRequestContent("application/json", json))
                    .timeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .send(new BufferingResponseListener(MAX_BODY_BYTES) {
                        @Override
                        public void onComplete(Result result) {
                            statusCallback.accept(
                                    result.isSucceeded() ? result.getResponse().getStatus() : NO_RESPONSE);
                        }
                    });
        } catch (Exception failure) {
            statusCallback.accept(NO_RESPONSE);
        }
    }
}
