package ringspindle.controlplane;

import java.util.concurrent.Executor;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.util.thread.Scheduler;
import ringspindle.transport.PlainConnector;

/** Holds an HTTP client that is started on first use because most nodes never need it. Thread safe. */
final class LazyHttpClient {
    private final Executor pool;
    private final Scheduler scheduler;
    private final int connectTimeoutMs;
    /** Null until first use; guarded by this. */
    private HttpClient client;

    LazyHttpClient(Executor pool, Scheduler scheduler, int connectTimeoutMs) {
        this.pool = pool;
        this.scheduler = scheduler;
        this.connectTimeoutMs = connectTimeoutMs;
    }

    /**
     * Returns the started client.
     *
     * @throws Exception if the client cannot be started
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
