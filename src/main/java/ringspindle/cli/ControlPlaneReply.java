package ringspindle.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import jakarta.json.spi.JsonProvider;
import java.io.StringReader;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated.Valid;

/** What the control plane made of a call. */
sealed interface ControlPlaneReply {
    /** The call was carried out (status 200). */
    record Accepted(String body) implements ControlPlaneReply {
        /** Looking a provider up is slow, so it is done once. */
        private static final JsonProvider JSON = JsonProvider.provider();

        /** The body as JSON. */
        JsonObject json() {
            try (JsonReader reader = JSON.createReader(new StringReader(body))) {
                return reader.readObject();
            }
        }

        /** The body as it was sent. */
        byte[] bytes() {
            return body.getBytes(UTF_8);
        }
    }

    /** The call was rejected and had no effect. */
    record Rejected(int status, String body) implements ControlPlaneReply {
        /** The error's name and text as far as the body gives them, otherwise empty. */
        String reason() {
            if (FleetConfig.json(body.getBytes(UTF_8)) instanceof Valid<JsonObject> parsed) {
                JsonObject error = parsed.value();
                return (error.getString("error", "") + " " + error.getString("text", "")).trim();
            }
            return "";
        }
    }

    /** Nobody was reached, or nobody could tell: the call may have been carried out. */
    record Unclear() implements ControlPlaneReply {}

    /** The reply that an HTTP response stands for. */
    static ControlPlaneReply of(int status, String body) {
        if (status == 200) {
            return new Accepted(body);
        }
        return status >= 500 ? new Unclear() : new Rejected(status, body);
    }

    /** True if the document that was read does not exist yet. */
    default boolean isNotFound() {
        return this instanceof Rejected rejected && rejected.status() == 404;
    }
}
