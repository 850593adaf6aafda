package ringspindle.proxy;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Objects;
import org.eclipse.jetty.client.EarlyHintsProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.client.transport.HttpExchange;
import org.eclipse.jetty.client.transport.internal.HttpChannelOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpConnectionOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpReceiverOverHTTP;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;

/**
 * Transport of the HTTP client for engines. Its connections record whether they received bytes that belong to no
 * request.
 *
 * <p>Jetty never repeats a request by itself here:
 * <ul>
 * <li>Requests are sent with {@code Connection.send(Request, CompleteListener)} on a connection from
 * {@code Destination.newConnection}. Jetty retries only requests in the queue of a destination
 * ({@code HttpDestination.process}, where {@code SendFailure.retry} is set); a direct send reports every failure to the
 * listener.</li>
 * <li>Redirects, authentication and {@code 100 Continue} are the other cases in which Jetty sends a request again. They
 * are implemented as protocol handlers, and {@link EngineHttpClient} removes them all.</li>
 * <li>{@code HttpChannel.associate} accepts one exchange at a time, so requests are neither pipelined nor queued.</li>
 * <li>The connection of an abandoned request is closed before the request is aborted
 * ({@code HttpConnectionOverHTTP.close} closes the end point), so bytes that were not written by then never are.</li>
 * </ul>
 */
final class EngineTransport extends HttpClientTransportOverHTTP {
    private static final String ATTEMPT_ID = "Attempt-Id";

    EngineTransport(ClientConnector connector) {
        super(connector);
    }

    @Override
    public org.eclipse.jetty.io.Connection newConnection(EndPoint endPoint, Map<String, Object> context) {
        return customize(new EngineConnection(endPoint, context), context);
    }

    /** A connection that records whether it received bytes outside the response to one of its requests. */
    static final class EngineConnection extends HttpConnectionOverHTTP {
        private volatile boolean desynchronized;
        private long bytesInWhenIdle;

        EngineConnection(EndPoint endPoint, Map<String, Object> context) {
            super(endPoint, context);
        }

        /** Records that bytes were received that belong to no request; no further request may be sent. */
        void markDesynchronized() {
            desynchronized = true;
        }

        /** Records that the connection becomes idle, so that nothing may be received until the next request. */
        void markIdle() {
            bytesInWhenIdle = getBytesIn();
        }

        /** Returns true if no request may be sent: the connection is closed or received unsolicited bytes. */
        boolean isUnusable() {
            return isClosed() || desynchronized;
        }

        /** Returns true if any bytes were received since {@link #markIdle}, even an incomplete response. */
        boolean receivedWhileIdle() {
            return getBytesIn() != bytesInWhenIdle;
        }

        @Override
        protected HttpChannelOverHTTP newHttpChannel() {
            return new HttpChannelOverHTTP(this) {
                @Override
                protected HttpReceiverOverHTTP newHttpReceiver() {
                    return new Receiver(this, EngineConnection.this);
                }
            };
        }
    }

    /**
     * Detects surplus bytes after a complete response in the same read. Jetty itself discards them and keeps the
     * connection open.
     */
    private static final class Receiver extends HttpReceiverOverHTTP {
        private final EngineConnection connection;

        Receiver(HttpChannelOverHTTP channel, EngineConnection connection) {
            super(channel);
            this.connection = connection;
        }

        @Override
        public boolean messageComplete() {
            HttpExchange exchange = getHttpExchange();
            ByteBuffer surplus = getResponseBuffer();
            if (exchange != null
                    && surplus != null
                    && surplus.hasRemaining()
                    && !HttpStatus.isInterim(exchange.getResponse().getStatus())) {
                connection.markDesynchronized();
            }
            return super.messageComplete();
        }
    }

    /**
     * Skips interim responses (1xx) and drops their headers, so that none of them is taken for a header of the final
     * response. After an interim response without the request's own id the connection carries no further request.
     */
    static final class InterimResponseHandler extends EarlyHintsProtocolHandler {
        @Override
        public String getName() {
            return "interim-answers";
        }

        @Override
        public boolean accept(Request request, Response response) {
            return HttpStatus.isInterim(response.getStatus());
        }

        @Override
        protected void onEarlyHints(Request request, HttpFields fields) {
            if (!Objects.equals(request.getHeaders().get(ATTEMPT_ID), fields.get(ATTEMPT_ID))
                    && request.getConnection() instanceof EngineConnection connection) {
                connection.markDesynchronized();
            }
        }
    }
}
