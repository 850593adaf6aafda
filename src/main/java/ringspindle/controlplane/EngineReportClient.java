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
 * Asks engines how many requests they still run. The HTTP client is started when first needed, as most nodes never are.
 * Thread safe.
 */
public final class EngineReportClient {
    private static final String PATH = "/ringspindle/report";
    private static final int TIMEOUT_MS = 800;
    private static final int BODY_MAX = 64 << 10;

    /** Where reports go. */
    @FunctionalInterface
    public interface Listener {
        /** An engine said how many requests it runs and queues; called by threads of the pool. */
        void reported(String id, int active, int queued);
    }

    private final LazyHttpClient client;
    private volatile Listener listener = (id, active, queued) -> {};

    /** Asks on those threads; nobody hears the answers until {@link #listener} is called. */
    public EngineReportClient(Executor pool, Scheduler scheduler) {
        client = new LazyHttpClient(pool, scheduler, TIMEOUT_MS);
    }

    /** Sets who hears of reports; {@code reports.listener(engines::reported)}. */
    public EngineReportClient listener(Listener newListener) {
        listener = newListener;
        return this;
    }

    /**
     * Asks an engine; without a proper answer the listener hears nothing.
     *
     * @param address the engine's address, null if it is not known: then nobody is asked
     */
    void request(String id, String address) {
        if (address == null) {
            return;
        }
        try {
            client.get()
                    .newRequest(URI.create("http://" + address + PATH))
                    .timeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .send(new BufferingResponseListener(BODY_MAX) {
                        @Override
                        public void onComplete(Result result) {
                            if (result.isSucceeded() && result.getResponse().getStatus() == HttpStatus.OK_200) {
                                read(id, getContentAsString());
                            }
                        }
                    });
        } catch (Exception failed) {
            // the roll-out asks again in a moment
        }
    }

    private void read(String id, String json) {
        try (JsonReader reader = JsonProvider.provider().createReader(new StringReader(json))) {
            JsonObject report = reader.readObject();
            listener.reported(id, report.getInt("active", 0), report.getInt("queued", 0));
        } catch (JsonException | ClassCastException noReport) {
            // the roll-out asks again in a moment
        }
    }
}
