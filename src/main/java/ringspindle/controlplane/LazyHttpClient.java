package ringspindle.controlplane;

import java.util.concurrent.Executor;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.util.thread.Scheduler;
import ringspindle.transport.PlainConnector;

/** An HTTP client that is started when first needed, as most nodes never need it. Thread safe. */
final class LazyHttpClient {
    private final Executor pool;
    private final Scheduler scheduler;
    private final int connectTimeoutMs;
    /** Null until first needed; guarded by this. */
    private HttpClient client;

    LazyHttpClient(Executor pool, Scheduler scheduler, int connectTimeoutMs) {
        this.pool = pool;
        this.scheduler = scheduler;
        this.connectTimeoutMs = connectTimeoutMs;
    }

    /**
     * The client, which runs.
     *
     * @throws Exception if it cannot start
     */
    synchronized HttpClient get() throws Exception {
        if (client == null) {
            client = new HttpClient(new HttpClientTransportOverHTTP(new PlainConnector()));
            client.setExecutor(pool);
            client.setScheduler(scheduler);
            client.setConnectTimeout(connectTimeoutMs);
            client.setUserAgentField(null);
            client.start();
        }
        return client;
    }
}
