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
 * One HTTP request to the control plane's API and its response.
 *
 * @param operation the requested operation, null if there is none for the method and path
 * @param argument the last segment of the path, such as an engine's id
 */
record ApiExchange(Request request, Response response, Callback callback, Operation operation, String argument) {
    /** The body of responses without content. */
    static final byte[] NO_BODY = {};

    private static final JsonProvider JSON = JsonProvider.provider();
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final String RETRY_AFTER_S = "0.2";

    /** The value of a query parameter, empty if it is absent. */
    String query(String name) {
        Fields.Field field = Request.extractQueryParameters(request).get(name);
        return field == null ? "" : field.getValue();
    }

    /**
     * The revision in the If-Match header, on which a change is based: 0 without the header, empty if it is malformed.
     */
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

    /** Reads the body and passes it on; responds with an error if it is longer than {@code maxBytes} or incomplete. */
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

    /** Responds with an outcome and no text. */
    void respond(Outcome outcome) {
        respond(outcome, NO_BODY);
    }

    /** Responds with a JSON object. */
    void respond(JsonObject body) {
        respond(Outcome.TAKEN, body.toString().getBytes(UTF_8));
    }

    /**
     * Responds with an outcome.
     *
     * @param body JSON if the outcome is {@link Outcome#TAKEN}; else a text, which is sent in a JSON object that names
     *     the error
     */
    void respond(Outcome outcome, byte[] body) {
        response.setStatus(outcome.status());
        byte[] content = outcome == Outcome.TAKEN ? body : errorBody(outcome, body);
        if (outcome.status() == SERVICE_UNAVAILABLE) {
            response.getHeaders().put("Retry-After", RETRY_AFTER_S);
        }
        if (content.length > 0) {
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        }
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, content.length);
        response.write(true, ByteBuffer.wrap(content), callback);
    }

    private static byte[] errorBody(Outcome outcome, byte[] text) {
        return JSON.createObjectBuilder()
                .add("error", outcome.name())
                .add("text", new String(text, UTF_8))
                .build()
                .toString()
                .getBytes(UTF_8);
    }
}
