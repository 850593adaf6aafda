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

/** The answer to one client, written from that of an engine. */
final class ClientResponse {
    private static final byte[] NOTHING = {};
    private static final int RETRY_AFTER_LEAST_MS = 10;

    private final Request request;
    private final Response response;
    private final Callback callback;
    /** Null where nobody asks. */
    private volatile ResponseTiming timing;

    /** The response to that request; the callback ends the exchange. */
    ClientResponse(Request request, Response response, Callback callback) {
        this.request = request;
        this.response = response;
        this.callback = callback;
    }

    /** Sets the head for a stream, whose end is told apart from a break by its last chunk. */
    void setStreamHead(org.eclipse.jetty.client.Response head, boolean lastOnConnection) {
        copyHead(head, lastOnConnection);
        if (request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1) {
            // else Jetty marks the end by closing where the connection is not kept, and a stream that breaks off would
            // look complete
            response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString());
        }
    }

    /** Sets the head for a body of that length in bytes. */
    void setHead(org.eclipse.jetty.client.Response head, long length, boolean lastOnConnection) {
        copyHead(head, lastOnConnection);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, length);
    }

    private void copyHead(org.eclipse.jetty.client.Response head, boolean lastOnConnection) {
        response.setStatus(head.getStatus());
        HttpFields.Mutable fields = response.getHeaders();
        Set<String> hopByHop = HopByHopHeaders.of(head.getHeaders());
        for (HttpField field : head.getHeaders()) {
            String name = field.getLowerCaseName();
            if (!hopByHop.contains(name) && !name.equals("content-length")) {
                fields.add(field);
            }
        }
        if (lastOnConnection) {
            fields.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
        }
    }

    /** Writes part of the body; one write at a time. */
    void write(byte[] part, Callback written) {
        ResponseTiming asked = timing;
        if (asked != null) {
            asked.onWrite();
        }
        response.write(false, ByteBuffer.wrap(part), written);
    }

    /** Writes the whole body and ends the exchange. */
    void writeBody(byte[] body) {
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    /** Notes from now on when parts are written; what is written whole is not among them. */
    void setTiming(ResponseTiming answerTiming) {
        timing = answerTiming;
    }

    /** Ends a stream as complete. */
    void endStream() {
        response.write(true, ByteBuffer.wrap(NOTHING), callback);
    }

    /** Ends the exchange so that what was written does not look complete. */
    void abort(Throwable cause) {
        callback.failed(cause);
    }

    /** Ends the exchange with content of the proxy's own. */
    void respond(String contentType, byte[] body, boolean lastOnConnection) {
        response.setStatus(HttpStatus.OK_200);
        write(contentType, body, lastOnConnection);
    }

    private void write(String contentType, byte[] body, boolean lastOnConnection) {
        HttpFields.Mutable fields = response.getHeaders();
        fields.put(HttpHeader.CONTENT_TYPE, contentType);
        fields.put(HttpHeader.CONTENT_LENGTH, body.length);
        if (lastOnConnection) {
            fields.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
        }
        writeBody(body);
    }

    /**
     * Ends the exchange with an answer of the proxy's own.
     *
     * @param retryAfterMs when the client may come back, where the outcome promises that nothing ran
     */
    void respond(Outcome outcome, long retryAfterMs, boolean lastOnConnection) {
        response.setStatus(outcome.status());
        byte[] body = ("{\"error\":\"" + outcome.name() + "\"}").getBytes(UTF_8);
        if (outcome.notRun()) {
            response.getHeaders()
                    .put(Headers.RETRY_AFTER, Double.toString(Math.max(RETRY_AFTER_LEAST_MS, retryAfterMs) / 1000.0));
        }
        write("application/json", body, lastOnConnection);
    }
}
