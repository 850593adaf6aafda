package ringspindle.controlplane;

import jakarta.json.JsonException;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import jakarta.json.spi.JsonProvider;
import java.io.StringReader;
import java.net.URI;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Asks engines how many requests they are still running. The HTTP client is started lazily because most nodes never
 * need it. Thread safe.
 */
public final class EngineReportClient {
    private static final String REPORT_PATH = "/ringspindle/report";
    private static final int TIMEOUT_MS = 800;
    private static final int MAX_BODY_BYTES = 64 << 10;

    /** Receives the reports of engines. */
    @FunctionalInterface
    public interface Listener {
        /** Called on a pool thread with the number of requests that an engine runs and queues. */
        void reported(String id, int active, int queued);
    }

    private final LazyHttpClient client;
    private volatile Listener listener = (id, active, queued) -> {};

    /** Creates a client that uses the given threads. Reports are discarded until {@link #listener} is called. */
    public EngineReportClient(Executor pool, Scheduler scheduler) {
        client = new LazyHttpClient(pool, scheduler, TIMEOUT_MS);
    }

    /** Sets the listener of reports, for example {@code reports.listener(engines::recordReport)}. */
    public EngineReportClient listener(Listener newListener) {
        listener = newListener;
        return this;
    }

    /**
     * Requests a report from an engine. The listener is not called if the engine gives no valid response.
     *
     * @param address the engine's address, or null if it is unknown, in which case no request is sent
     */
    void request(String id, String address) {
        if (address == null) {
            return;
        }
        try {
            client.get()
                    .newRequest(URI.create("http://" + address + REPORT_PATH))
                    .timeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .send(new BufferingResponseListener(MAX_BODY_BYTES) {
                        @Override
                        public void onComplete(Result result) {
                            if (result.isSucceeded() && result.getResponse().getStatus() == HttpStatus.OK_200) {
                                parseReport(id, getContentAsString());
                            }
                        }
                    });
        } catch (Exception failure) {
            // the rollout task will ask again
        }
    }

    private void parseReport(String id, String json) {
        try (JsonReader reader = JsonProvider.provider().createReader(new StringReader(json))) {
            JsonObject report = reader.readObject();
            listener.reported(id, report.getInt("active", 0), report.getInt("queued", 0));
        } catch (JsonException | ClassCastException malformed) {
            // the rollout task will ask again
        }
    }
}
