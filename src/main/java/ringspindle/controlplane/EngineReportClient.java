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
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import ringspindle.transport.PlainConnector;

/** Asks engines for their reports; started when first needed, as most nodes never are. */
final class EngineReportClient {
    /** Where a report goes. */
    interface Listener {
        void reported(String id, int active, int queued);
    }

    private final Executor pool;
    private final org.eclipse.jetty.util.thread.Scheduler beats;
    private volatile Listener ear = (id, active, queued) -> {};
    private HttpClient client;

    EngineReportClient(Executor pool, org.eclipse.jetty.util.thread.Scheduler beats) {
        this.pool = pool;
        this.beats = beats;
    }

    /** Who hears of reports; {@code reports.tell(control::reported)}. */
    EngineReportClient tell(Listener e) {
        ear = e;
        return this;
    }

    void ask(String id, String address) {
        if (address == null) {
            return;
        }
        try {
            client().newRequest(URI.create("http://" + address + "/ringspindle/report"))
                    .timeout(800, TimeUnit.MILLISECONDS)
                    .send(new BufferingResponseListener(64 << 10) {
                        @Override
                        public void onComplete(Result r) {
                            if (r.isSucceeded() && r.getResponse().getStatus() == 200) {
                                read(id, getContentAsString());
                            }
                        }
                    });
        } catch (Exception x) {
            // asked again at the next beat
        }
    }

    private void read(String id, String json) {
        try (JsonReader in = JsonProvider.provider().createReader(new StringReader(json))) {
            JsonObject o = in.readObject();
            ear.reported(id, o.getInt("active", 0), o.getInt("queued", 0));
        } catch (JsonException | ClassCastException x) {
            // no report
        }
    }

    private synchronized HttpClient client() throws Exception {
        if (client == null) {
            client = new HttpClient(new HttpClientTransportOverHTTP(new PlainConnector()));
            client.setExecutor(pool);
            client.setScheduler(beats);
            client.setConnectTimeout(800);
            client.setUserAgentField(null);
            client.start();
        }
        return client;
    }
}
