package ringspindle.metrics;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import ringspindle.protocol.NodeId;

/** Serves {@link Metrics} at a port of its own; what comes to other ports goes to the handler that was there. */
public final class MetricsEndpoint extends Handler.Wrapper {
    /** Where the page stands. */
    public static final String PATH = "/metrics";

    private static final int IDLE_MS = 10_000;

    private final Metrics metrics;
    private final ServerConnector connector;

    private MetricsEndpoint(Handler others, Metrics metrics, ServerConnector connector) {
        super(others);
        this.metrics = metrics;
        this.connector = connector;
    }

    /**
     * Adds the end point to a server that is not started and has its handler;
     * {@code MetricsEndpoint.add(server, NodeId.of("10.0.0.1:9464"), metrics)}.
     */
    public static void add(Server server, NodeId address, Metrics metrics) {
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        ServerConnector connector = new ServerConnector(
                server, server.getThreadPool(), server.getScheduler(), null, 0, 1, new HttpConnectionFactory(http));
        connector.setHost(address.ip());
        connector.setPort(address.port());
        connector.setIdleTimeout(IDLE_MS);
        server.addConnector(connector);
        server.setHandler(new MetricsEndpoint(server.getHandler(), metrics, connector));
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        if (request.getConnectionMetaData().getConnector() != connector) {
            return super.handle(request, response, callback);
        }
        boolean found = request.getHttpURI().getPath().equals(PATH);
        byte[] page = found ? metrics.page() : new byte[0];
        response.setStatus(found ? HttpStatus.OK_200 : HttpStatus.NOT_FOUND_404);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, Metrics.CONTENT_TYPE);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, page.length);
        response.write(true, ByteBuffer.wrap(page), callback);
        return true;
    }
}
