package ringspindle.controlplane.server;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonString;
import java.math.BigInteger;
import java.net.URLDecoder;
import java.util.Optional;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.controlplane.ControlNode;

/** Increments replicated counters and reads their totals; both work on either side of a partition. */
final class CounterResource {
    private static final int MAX_BODY_BYTES = 4096;
    /** Limits the length of a counter's name and of an increment's id. */
    private static final int MAX_NAME_CHARS = 256;

    /** A requested increment; the instance id identifies it across retries. */
    private record Increment(String instance, long amount) {}

    private final ControlNode node;

    CounterResource(ControlNode node) {
        this.node = node;
    }

    /** Responds with the total of a counter. */
    void get(ApiExchange exchange) {
        Optional<String> name = name(exchange);
        if (name.isEmpty()) {
            exchange.respond(Outcome.MALFORMED);
            return;
        }
        Optional<BigInteger> total = node.counters().total(name.get());
        if (total.isEmpty()) {
            exchange.respond(Outcome.UNCLEAR);
            return;
        }
        exchange.respond(Outcome.TAKEN, ("{\"total\":" + total.get() + "}").getBytes(UTF_8));
    }

    /** Increments a counter. */
    void add(ApiExchange exchange) {
        exchange.readBody(MAX_BODY_BYTES, body -> add(exchange, body));
    }

    private void add(ApiExchange exchange, byte[] body) {
        Optional<String> name = name(exchange);
        Optional<Increment> increment = increment(body);
        if (name.isEmpty() || increment.isEmpty()) {
            exchange.respond(Outcome.MALFORMED);
            return;
        }
        node.counters()
                .add(name.get(), increment.get().instance(), increment.get().amount(), exchange::respond);
    }

    /** The counter's name, percent-decoded from the path; empty if it is invalid. */
    private static Optional<String> name(ApiExchange exchange) {
        try {
            // URLDecoder decodes a plus sign to a space, but in a path it is literal
            return validate(URLDecoder.decode(exchange.argument().replace("+", "%2B"), UTF_8));
        } catch (IllegalArgumentException badEscape) {
            return Optional.empty();
        }
    }

    private static Optional<String> validate(String text) {
        boolean validLength = !text.isEmpty() && text.length() <= MAX_NAME_CHARS;
        return validLength && text.chars().noneMatch(Character::isISOControl) ? Optional.of(text) : Optional.empty();
    }

    /** Parses an increment: an id and a signed 64-bit integer, which may be zero; empty if it is malformed. */
    private static Optional<Increment> increment(byte[] body) {
        if (!(FleetConfig.json(body) instanceof Validated.Valid<JsonObject> json)
                || !(json.value().get("instanceId") instanceof JsonString instance)
                || !(json.value().get("actor") instanceof JsonNumber amount)) {
            return Optional.empty();
        }
        try {
            long exactAmount = amount.longValueExact();
            return validate(instance.getString()).map(id -> new Increment(id, exactAmount));
        } catch (ArithmeticException notALong) {
            return Optional.empty();
        }
    }
}
