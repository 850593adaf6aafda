package ringspindle.proxy;

import java.net.InetSocketAddress;
import java.util.List;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.util.thread.Invocable;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.Scheduler;

/** Makes the HTTP client that talks to engines: it passes everything on as it is and does nothing by itself. */
final class EngineHttpClient {
    /** More than a client may send, as the proxy adds a few fields. */
    private static final int REQUEST_HEADERS_MAX = ProxyHandler.REQUEST_HEADERS_MAX + 4096;

    private static final int RESPONSE_HEADERS_MAX = 16384;
    /** Small, as one is made for each read; events are far smaller. */
    private static final int RESPONSE_BUFFER_BYTES = 4096;

    private static final int CONNECT_TIMEOUT_MS = 600;

    private EngineHttpClient() {}

    /** Starts a client on those threads. */
    static HttpClient start(QueuedThreadPool pool, Scheduler scheduler) throws Exception {
        EngineTransport transport = new EngineTransport(new EngineEndPoint.Connector());
        // what listens to answers never blocks: they are read on the selector's thread
        transport.setInvocationType(Invocable.InvocationType.NON_BLOCKING);
        HttpClient client = new HttpClient(transport);
        client.setExecutor(pool);
        client.setScheduler(scheduler);
        // No pool: after its answer has ended, Jetty's receiver may clear the buffer that it held, at a moment when
        // another
        // connection has got that buffer from the pool and filled it; events were lost that way.
        client.setByteBufferPool(new ByteBufferPool.NonPooling());
        client.setResponseBufferSize(RESPONSE_BUFFER_BYTES);
        client.setConnectTimeout(CONNECT_TIMEOUT_MS);
        // silence ends no request: the action's deadline does, and the pool closes idle connections
        client.setIdleTimeout(0);
        client.setUserAgentField(null);
        client.setFollowRedirects(false);
        client.setDefaultRequestContentType(null);
        client.setMaxResponseHeadersSize(RESPONSE_HEADERS_MAX);
        client.setMaxRequestHeadersSize(REQUEST_HEADERS_MAX);
        // what an engine sets for one client is never sent with the request of another
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.setUseInputDirectByteBuffers(false);
        client.setUseOutputDirectByteBuffers(false);
        client.setSocketAddressResolver(
                (host, port, context, promise) -> promise.succeeded(List.of(new InetSocketAddress(host, port))));
        client.start();
        client.getProtocolHandlers().clear();
        client.getProtocolHandlers().put(new EngineTransport.InterimAnswers());
        client.getContentDecoderFactories().clear();
        return client;
    }
}
