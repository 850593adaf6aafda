package ringspindle.cli;

import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import ringspindle.api.Operation;
import ringspindle.transport.LifeCycles;
import ringspindle.transport.PlainConnector;

/** Calls the control plane through any control node that gives a clear result, retrying on the others. */
final class ControlPlaneClient implements AutoCloseable {
    private static final int MAX_ATTEMPTS = 8;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int CALL_TIMEOUT_S = 4;
    private static final int SINGLE_CALL_TIMEOUT_S = 3;
    private static final long FIRST_BACKOFF_MS = 100;
    private static final int MAX_BACKOFF_DOUBLINGS = 3;

    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_MANY_REQUESTS = 429;

    private final List<String> nodes;
    private final HttpClient http = new HttpClient(new HttpClientTransportOverHTTP(new PlainConnector()));

    /**
     * A started client; close it after use.
     *
     * @param nodes endpoints of control nodes, {@code ip:port}, in the order in which they are tried
     * @throws Exception if the HTTP client cannot start
     */
    ControlPlaneClient(List<String> nodes) throws Exception {
        this.nodes = List.copyOf(nodes);
        http.setConnectTimeout(CONNECT_TIMEOUT_MS);
        http.start();
    }

    /** The control nodes that were given, {@code ip:port}. */
    List<String> nodes() {
        return nodes;
    }

    /** Calls an operation without argument, condition and body. */
    ControlPlaneReply call(Operation operation) throws InterruptedException {
        return call(ControlPlaneCall.of(operation));
    }

    /**
     * Calls one node after the other, with exponential backoff, until one gives a clear result. Operations are
     * idempotent, so a call whose result got lost may be sent again.
     */
    ControlPlaneReply call(ControlPlaneCall call) throws InterruptedException {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            String node = nodes.get(attempt % nodes.size());
            try {
                ContentResponse response = request(node, call).send();
                if (isClear(response.getStatus())) {
                    return ControlPlaneReply.of(response.getStatus(), response.getContentAsString());
                }
            } catch (TimeoutException | ExecutionException unreached) {
                // the next node may be reached
            }
            Thread.sleep(FIRST_BACKOFF_MS << Math.min(MAX_BACKOFF_DOUBLINGS, attempt / nodes.size()));
        }
        return new ControlPlaneReply.Unclear();
    }

    /** Asks one node, once: for what each control node knows by itself. */
    ControlPlaneReply callOnce(String node, Operation operation) throws InterruptedException {
        try {
            ContentResponse response = request(node, ControlPlaneCall.of(operation))
                    .timeout(SINGLE_CALL_TIMEOUT_S, TimeUnit.SECONDS)
                    .send();
            return ControlPlaneReply.of(response.getStatus(), response.getContentAsString());
        } catch (TimeoutException | ExecutionException unreached) {
            return new ControlPlaneReply.Unclear();
        }
    }

    private Request request(String node, ControlPlaneCall call) {
        Operation operation = call.operation();
        Request request = http.newRequest("http://" + node + operation.path(call.argument()))
                .method(operation.method())
                .timeout(CALL_TIMEOUT_S, TimeUnit.SECONDS);
        call.baseRevision()
                .ifPresent(revision -> request.headers(headers -> headers.put("If-Match", Long.toString(revision))));
        call.body().ifPresent(body -> request.body(new BytesRequestContent("application/json", body)));
        return request;
    }

    private static boolean isClear(int status) {
        return status < 500 && status != REQUEST_TIMEOUT && status != TOO_MANY_REQUESTS;
    }

    @Override
    public void close() {
        LifeCycles.stopQuietly(http);
    }
}
