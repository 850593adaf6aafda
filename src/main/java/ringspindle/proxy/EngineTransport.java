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
 * The transport of the client that talks to engines. Its connections remember whether they saw bytes that belong to no
 * request.
 *
 * <p>Jetty sends no request a second time by itself here:
 * <ul>
 * <li>Requests go out through {@code Connection.send(Request, CompleteListener)}, on a connection got from
 * {@code Destination.newConnection}. Jetty repeats a send only for requests in the queue of a destination
 * ({@code HttpDestination.process}, where {@code SendFailure.retry} is set); the direct way reports every failure to
 * the listener.</li>
 * <li>Redirects, authentication and {@code 100 Continue} are the other places where Jetty sends again. They are
 * protocol handlers, and {@link EngineConnectionPool} removes them all.</li>
 * <li>{@code HttpChannel.associate} takes one exchange at a time, so nothing is pipelined or waits behind another.</li>
 * <li>A request that is given up has its connection closed first ({@code HttpConnectionOverHTTP.close} closes the end
 * point), so what was not written by then never is.</li>
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

    /** A connection to an engine that knows whether it is still in step with its requests. */
    static final class EngineConnection extends HttpConnectionOverHTTP {
        private volatile boolean outOfStep;
        private long bytesInAtRest;

        EngineConnection(EndPoint endPoint, Map<String, Object> context) {
            super(endPoint, context);
        }

        /** Notes that bytes came which belong to no request; nothing further may be sent here. */
        void outOfStep() {
            outOfStep = true;
        }

        /** From now on the engine has nothing to say here. */
        void rest() {
            bytesInAtRest = getBytesIn();
        }

        /** True if no request may be sent here: it is closed, or saw bytes that nobody asked for. */
        boolean unusable() {
            return isClosed() || outOfStep;
        }

        /** True if bytes have come since {@link #rest}, also where they do not form a whole answer yet. */
        boolean disturbed() {
            return getBytesIn() != bytesInAtRest;
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

    /** Jetty discards what stands behind a whole answer in the same read and keeps the connection; this notes it. */
    private static final class Receiver extends HttpReceiverOverHTTP {
        private final EngineConnection connection;

        Receiver(HttpChannelOverHTTP channel, EngineConnection connection) {
            super(channel);
            this.connection = connection;
        }

        @Override
        public boolean messageComplete() {
            HttpExchange exchange = getHttpExchange();
            ByteBuffer rest = getResponseBuffer();
            if (exchange != null
                    && rest != null
                    && rest.hasRemaining()
                    && !HttpStatus.isInterim(exchange.getResponse().getStatus())) {
                connection.outOfStep();
            }
            return super.messageComplete();
        }
    }

    /**
     * Passes over interim answers (1xx) and drops their header fields, so that none of them stands in for one of the
     * answer proper. After one without the request's own id the connection carries no further request.
     */
    static final class InterimAnswers extends EarlyHintsProtocolHandler {
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
                connection.outOfStep();
            }
        }
    }
}
