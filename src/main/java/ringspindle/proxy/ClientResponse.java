package ringspindle.proxy;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.ByteBuffer;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import ringspindle.api.Outcome;

/** Writes the response to one client, from that of an engine or with content of the proxy's own. */
final class ClientResponse {
    private static final byte[] EMPTY = {};
    private static final int MIN_RETRY_AFTER_MS = 10;

    private final Request request;
    private final Response response;
    private final Callback callback;
    /** Null unless the writes of this response are timed. */
    private volatile ResponseTiming timing;

    /** Creates the response to a request; the callback completes the exchange. */
    ClientResponse(Request request, Response response, Callback callback) {
        this.request = request;
        this.response = response;
        this.callback = callback;
    }

    /** Sets status and headers of a stream; its last chunk tells a complete stream from a truncated one. */
    void setStreamHeaders(org.eclipse.jetty.client.Response engineResponse, boolean closeConnection) {
        copyHeaders(engineResponse, closeConnection);
        if (request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1) {
            // Without this Jetty delimits the body of a non-persistent connection by closing it, and a truncated stream
            // would look complete.
            response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString());
        }
    }

    /** Sets status and headers of a body with {@code length} bytes. */
    void setHeaders(org.eclipse.jetty.client.Response engineResponse, long length, boolean closeConnection) {
        copyHeaders(engineResponse, closeConnection);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, length);
    }

    private void copyHeaders(org.eclipse.jetty.client.Response engineResponse, boolean closeConnection) {
        response.setStatus(engineResponse.getStatus());
        HttpFields.Mutable fields = response.getHeaders();
        Set<String> hopByHop = HopByHopHeaders.of(engineResponse.getHeaders());
        for (HttpField field : engineResponse.getHeaders()) {
            String name = field.getLowerCaseName();
            if (!hopByHop.contains(name) && !name.equals("content-length")) {
                fields.add(field);
            }
        }
        if (closeConnection) {
            fields.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
        }
    }

    /** Writes a part of the body; only one write may be pending. */
    void write(byte[] part, Callback written) {
        ResponseTiming current = timing;
        if (current != null) {
            current.onWrite();
        }
        response.write(false, ByteBuffer.wrap(part), written);
    }

    /** Writes the whole body and completes the exchange. */
    void writeBody(byte[] body) {
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    /** Records the times of later calls of {@link #write}; a body that is written as a whole is not recorded. */
    void setTiming(ResponseTiming newTiming) {
        timing = newTiming;
    }

    /** Completes a stream. */
    void endStream() {
        response.write(true, ByteBuffer.wrap(EMPTY), callback);
    }

    /** Aborts the exchange, so that what was written so far does not look complete. */
    void abort(Throwable cause) {
        callback.failed(cause);
    }

    /** Completes the exchange with status 200 and content of the proxy's own. */
    void respond(String contentType, byte[] body, boolean closeConnection) {
        response.setStatus(HttpStatus.OK_200);
        write(contentType, body, closeConnection);
    }

    private void write(String contentType, byte[] body, boolean closeConnection) {
        HttpFields.Mutable fields = response.getHeaders();
        fields.put(HttpHeader.CONTENT_TYPE, contentType);
        fields.put(HttpHeader.CONTENT_LENGTH, body.length);
        if (closeConnection) {
            fields.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
        }
        writeBody(body);
    }

    /**
     * Completes the exchange with an error response of the proxy's own.
     *
     * @param retryAfterMs when the client may retry; only sent if the outcome guarantees that nothing was executed
     */
    void respond(Outcome outcome, long retryAfterMs, boolean closeConnection) {
        response.setStatus(outcome.status());
        byte[] body = ("{\"error\":\"" + outcome.name() + "\"}").getBytes(UTF_8);
        if (outcome.notRun()) {
            response.getHeaders()
                    .put(Headers.RETRY_AFTER, Double.toString(Math.max(MIN_RETRY_AFTER_MS, retryAfterMs) / 1000.0));
        }
        write("application/json", body, closeConnection);
    }
}
