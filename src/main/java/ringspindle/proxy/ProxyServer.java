package ringspindle.proxy;

import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.Scheduler;
import ringspindle.config.FleetConfig;
import ringspindle.metrics.Metrics;
import ringspindle.metrics.MetricsEndpoint;
import ringspindle.protocol.NodeId;
import ringspindle.transport.LifeCycles;

/** HTTP server of a data node: one port for clients, one for the platform's readiness probes. */
final class ProxyServer {
    private static final int DEFAULT_IDLE_TIMEOUT_MS = 15_000;
    private static final int ACCEPT_QUEUE_LENGTH = 512;
    private static final int OUTPUT_BUFFER_BYTES = 16_384;

    private final Server server;
    private final ClientEndPoint.Connector clientConnector;

    private ProxyServer(Server server, ClientEndPoint.Connector clientConnector) {
        this.server = server;
        this.clientConnector = clientConnector;
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param readiness the address for readiness probes, null for none
     */
    static ProxyServer create(
            NodeId address, NodeId readiness, Handler handler, QueuedThreadPool pool, Scheduler scheduler) {
        // retained buffer memory is limited so that the node fits on a small machine
        Server server = new Server(pool, scheduler, new ArrayByteBufferPool(0, 4096, 65536, 256, 2 << 20, 4 << 20));
        HttpConnectionFactory http = new HttpConnectionFactory(httpConfiguration());
        ClientEndPoint.Connector clientConnector = new ClientEndPoint.Connector(server, pool, scheduler, http);
        clientConnector.setHost(address.ip());
        clientConnector.setPort(address.port());
        clientConnector.setIdleTimeout(DEFAULT_IDLE_TIMEOUT_MS);
        clientConnector.setAcceptQueueSize(ACCEPT_QUEUE_LENGTH);
        server.addConnector(clientConnector);
        if (readiness != null) {
            ServerConnector readinessConnector = new ServerConnector(
                    server, pool, scheduler, null, 0, 1, new HttpConnectionFactory(httpConfiguration()));
            readinessConnector.setHost(readiness.ip());
            readinessConnector.setPort(readiness.port());
            server.addConnector(readinessConnector);
        }
        server.setStopTimeout(0);
        server.setHandler(handler);
        return new ProxyServer(server, clientConnector);
    }

    /**
     * Starts listening; may be called once.
     *
     * @throws Exception if a port cannot be opened
     */
    void start() throws Exception {
        server.start();
    }

    private static HttpConfiguration httpConfiguration() {
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        http.setRequestHeaderSize(ProxyHandler.MAX_REQUEST_HEADER_BYTES);
        http.setUriCompliance(UriCompliance.UNSAFE);
        http.setUseInputDirectByteBuffers(false);
        http.setUseOutputDirectByteBuffers(false);
        http.setOutputBufferSize(OUTPUT_BUFFER_BYTES);
        return http;
    }

    /** Serves the node's metrics at a separate port; call before {@link #start}. */
    void serveMetrics(NodeId address, Metrics metrics) {
        MetricsEndpoint.add(server, address, metrics);
    }

    /** Returns true if the request arrived at the client port. */
    boolean isClientRequest(Request request) {
        return request.getConnectionMetaData().getConnector() == clientConnector;
    }

    /** Applies the configuration's limits for clients. */
    void setLimits(FleetConfig.Limits limits) {
        clientConnector.setHeadTimeout(limits.headerMs());
        setIdleTimeout(limits.idleMs());
    }

    /** Sets the idle timeout of client connections; never shortens the one already announced to open connections. */
    private void setIdleTimeout(int idleMs) {
        clientConnector.setIdleTimeout(idleMs);
        for (EndPoint endPoint : clientConnector.getConnectedEndPoints()) {
            endPoint.setIdleTimeout(Math.max(endPoint.getIdleTimeout(), idleMs));
        }
    }

    /** Stops accepting connections; open ones continue. */
    void stopAccepting() {
        clientConnector.shutdown();
    }

    /** Closes all connections and listeners. */
    void close() {
        LifeCycles.stopQuietly(server);
    }
}
