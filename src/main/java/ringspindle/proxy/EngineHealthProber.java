package ringspindle.proxy;

import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpStatus;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.time.MonotonicClock;

/** Sends health probes to ejected engines, each over a connection of its own. */
final class EngineHealthProber {
    private static final int TIMEOUT_MS = 900;

    private final HttpClient client;
    private final LoadBalancer loadBalancer;
    private final MonotonicClock clock;

    EngineHealthProber(HttpClient client, LoadBalancer loadBalancer, MonotonicClock clock) {
        this.client = client;
        this.loadBalancer = loadBalancer;
        this.clock = clock;
    }

    /** Sends all probes that are due. */
    void probe() {
        loadBalancer.dueHealthProbes(clock.nowMs()).forEach(this::send);
    }

    private void send(LoadBalancer.HealthProbe probe) {
        client.newRequest(probe.address().ip(), probe.address().port())
                .path(probe.healthPath())
                .timeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .headers(fields -> fields.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString()))
                .send(result -> onResult(probe, result));
    }

    private void onResult(LoadBalancer.HealthProbe probe, Result result) {
        Response response = result.getResponse();
        boolean healthy = result.isSucceeded()
                && response.getStatus() == HttpStatus.OK_200
                && probe.id().equals(response.getHeaders().get(Headers.INSTANCE_ID));
        int warmupMs = result.isSucceeded() ? warmupMs(response) : 0;
        loadBalancer.onHealthProbeResult(probe.id(), healthy, warmupMs, clock.nowMs());
    }

    private static int warmupMs(Response response) {
        String header = response.getHeaders().get(Headers.WARMUP_MS);
        try {
            return header == null ? 0 : (int) Double.parseDouble(header);
        } catch (NumberFormatException notANumber) {
            return 0;
        }
    }
}
