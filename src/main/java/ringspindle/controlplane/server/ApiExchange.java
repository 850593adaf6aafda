package ringspindle.controlplane.server;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonObject;
import jakarta.json.spi.JsonProvider;
import java.nio.ByteBuffer;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import ringspindle.api.Operation;
import ringspindle.api.Outcome;
import ringspindle.proxy.BoundedBody;

/**
 * One HTTP call and its answer.
 *
 * @param operation what is called
 * @param argument the last part of the path, such as an engine's id
 */
record ApiExchange(Request request, Response response, Callback callback, Operation operation, String argument) {
    /** The body of answers that have none. */
    static final byte[] NO_BODY = {};

    private static final JsonProvider JSON = JsonProvider.provider();
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final String RETRY_AFTER_S = "0.2";

    /** A query parameter, empty if it is not given. */
    String query(String name) {
        Fields.Field field = Request.extractQueryParameters(request).get(name);
        return field == null ? "" : field.getValue();
    }

    /** The revision that an order builds on by its If-Match header, 0 without one; empty if it cannot be read. */
    OptionalLong baseRevision() {
        String tag = request.getHeaders().get(HttpHeader.IF_MATCH);
        if (tag == null) {
            return OptionalLong.of(0);
        }
        try {
            long revision = Long.parseLong(tag.replace("\"", "").trim());
            return revision < 0 ? OptionalLong.empty() : OptionalLong.of(revision);
        } catch (NumberFormatException notANumber) {
            return OptionalLong.empty();
        }
    }

    /** Reads the body and passes it on; one that is longer than {@code maxBytes} or breaks off is answered here. */
    void readBody(int maxBytes, Consumer<byte[]> reader) {
        new BoundedBody(
                        request,
                        maxBytes,
                        body -> {
                            if (body == null) {
                                respond(Outcome.TOO_LARGE);
                            } else {
                                reader.accept(body);
                            }
                        },
                        failure -> respond(Outcome.MALFORMED))
                .run();
    }

    /** Answers with an outcome alone. */
    void respond(Outcome outcome) {
        respond(outcome, NO_BODY);
    }

    /** Answers with a JSON object. */
    void respond(JsonObject body) {
        respond(Outcome.TAKEN, body.toString().getBytes(UTF_8));
    }

    /**
     * Answers with an outcome.
     *
     * @param body JSON if the call was taken; else text, which goes out in a JSON object that names the error
     */
    void respond(Outcome outcome, byte[] body) {
        response.setStatus(outcome.status());
        byte[] content = outcome == Outcome.TAKEN ? body : error(outcome, body);
        if (outcome.status() == SERVICE_UNAVAILABLE) {
            response.getHeaders().put("Retry-After", RETRY_AFTER_S);
        }
        if (content.length > 0) {
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        }
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, content.length);
        response.write(true, ByteBuffer.wrap(content), callback);
    }

    private static byte[] error(Outcome outcome, byte[] text) {
        return JSON.createObjectBuilder()
                .add("error", outcome.name())
                .add("text", new String(text, UTF_8))
                .build()
                .toString()
                .getBytes(UTF_8);
    }
}
