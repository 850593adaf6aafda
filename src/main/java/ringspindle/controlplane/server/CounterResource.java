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

/** Adds to replicated counters and reads their totals; both work on either side of a partition. */
final class CounterResource {
    private static final int BODY_MAX = 4096;
    /** Characters of a name or an id. */
    private static final int TEXT_MAX = 256;

    /** An increment as it was asked for. */
    private record Increment(String instance, long amount) {}

    private final ControlNode node;

    CounterResource(ControlNode node) {
        this.node = node;
    }

    /** Answers with a total. */
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

    /** Adds to a counter. */
    void add(ApiExchange exchange) {
        exchange.readBody(BODY_MAX, body -> add(exchange, body));
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

    /** The counter's name, which the path holds with escapes; empty if it is no proper one. */
    private static Optional<String> name(ApiExchange exchange) {
        try {
            // a plus sign stands for itself in a path
            return proper(URLDecoder.decode(exchange.argument().replace("+", "%2B"), UTF_8));
        } catch (IllegalArgumentException badEscape) {
            return Optional.empty();
        }
    }

    private static Optional<String> proper(String text) {
        boolean fits = !text.isEmpty() && text.length() <= TEXT_MAX;
        return fits && text.chars().noneMatch(Character::isISOControl) ? Optional.of(text) : Optional.empty();
    }

    /** Reads an increment: an id, and any whole number of 64 bits, which may be zero or negative. */
    private static Optional<Increment> increment(byte[] body) {
        if (!(FleetConfig.json(body) instanceof Validated.Valid<JsonObject> json)
                || !(json.value().get("instanceId") instanceof JsonString instance)
                || !(json.value().get("actor") instanceof JsonNumber amount)) {
            return Optional.empty();
        }
        try {
            long exact = amount.longValueExact();
            return proper(instance.getString()).map(id -> new Increment(id, exact));
        } catch (ArithmeticException noWholeNumberOfThatSize) {
            return Optional.empty();
        }
    }
}
