package ringspindle.proxy;

import java.net.InetSocketAddress;
import java.util.List;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.util.thread.Invocable;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.Scheduler;

/** Creates the HTTP client for engines, without redirects, cookies, decoding or any other change to messages. */
final class EngineHttpClient {
    /** In bytes; larger than the limit for clients because the proxy adds a few headers. */
    private static final int MAX_REQUEST_HEADER_BYTES = ProxyHandler.MAX_REQUEST_HEADER_BYTES + 4096;

    private static final int RESPONSE_HEADERS_MAX = 16384;
    /** Small because a buffer is allocated for each read; events are much smaller. */
    private static final int RESPONSE_BUFFER_BYTES = 4096;

    private static final int CONNECT_TIMEOUT_MS = 600;

    private EngineHttpClient() {}

    /** Starts a client that uses the given threads. */
    static HttpClient start(QueuedThreadPool pool, Scheduler scheduler) throws Exception {
        EngineTransport transport = new EngineTransport(new EngineEndPoint.Connector());
        // Response listeners never block, so responses are read on the selector thread.
        transport.setInvocationType(Invocable.InvocationType.NON_BLOCKING);
        HttpClient client = new HttpClient(transport);
        client.setExecutor(pool);
        client.setScheduler(scheduler);
        // No buffer pool: after the end of a response Jetty's receiver may clear the buffer that it used while another
        // connection has already acquired and filled it, which loses events.
        client.setByteBufferPool(new ByteBufferPool.NonPooling());
        client.setResponseBufferSize(RESPONSE_BUFFER_BYTES);
        client.setConnectTimeout(CONNECT_TIMEOUT_MS);
        // Inactivity does not end a request, the action's deadline does; idle connections are closed by the pool.
        client.setIdleTimeout(0);
        client.setUserAgentField(null);
        client.setFollowRedirects(false);
        client.setDefaultRequestContentType(null);
        client.setMaxResponseHeadersSize(RESPONSE_HEADERS_MAX);
        client.setMaxRequestHeadersSize(MAX_REQUEST_HEADER_BYTES);
        // A cookie that an engine sets for one client must never be sent with the request of another.
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.setUseInputDirectByteBuffers(false);
        client.setUseOutputDirectByteBuffers(false);
        client.setSocketAddressResolver(
                (host, port, context, promise) -> promise.succeeded(List.of(new InetSocketAddress(host, port))));
        client.start();
        client.getProtocolHandlers().clear();
        client.getProtocolHandlers().put(new EngineTransport.InterimResponseHandler());
        client.getContentDecoderFactories().clear();
        return client;
    }
}
