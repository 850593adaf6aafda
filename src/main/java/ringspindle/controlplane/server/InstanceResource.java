package ringspindle.controlplane.server;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import jakarta.json.JsonArray;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.controlplane.ControlNode;
import ringspindle.logging.LogField;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.NodeId;
import ringspindle.replication.CallKind;

/** Registers engines by their heartbeats, and removes them. */
final class InstanceResource {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int MAX_BODY_BYTES = 64 << 10;
    /** Value of a number that an engine does not report. */
    private static final int UNREPORTED = -1;

    /** An engine and the sequence number of its heartbeat. */
    private record Registration(Engine engine, long sequence) {}

    private final ControlNode node;

    InstanceResource(ControlNode node) {
        this.node = node;
    }

    /** Removes an engine. */
    void remove(ApiExchange exchange) {
        node.replication()
                .call(
                        CallKind.GONE,
                        0,
                        exchange.argument(),
                        ApiExchange.NO_BODY,
                        (outcome, body) -> exchange.respond(outcome));
    }

    /** Accepts a heartbeat of an engine. */
    void heartbeat(ApiExchange exchange) {
        exchange.readBody(MAX_BODY_BYTES, body -> heartbeat(exchange, body));
    }

    private void heartbeat(ApiExchange exchange, byte[] body) {
        if (!node.serving().quorate()) {
            exchange.respond(Outcome.UNCLEAR);
            return;
        }
        if (!(FleetConfig.json(body) instanceof Validated.Valid<JsonObject> json)) {
            exchange.respond(Outcome.MALFORMED);
            return;
        }
        String id = exchange.argument();
        Registration registration;
        boolean accepted;
        try {
            registration = parseRegistration(json.value());
            accepted = node.engines().heartbeat(id, registration.engine(), registration.sequence());
        } catch (RuntimeException malformed) {
            LOG.atInfo()
                    .with(LogField.ENGINE, id)
                    .with(LogField.REASON, malformed)
                    .log("malformed engine heartbeat");
            exchange.respond(Outcome.MALFORMED);
            return;
        }
        if (accepted) {
            acknowledge(exchange, id, registration.engine());
        } else {
            exchange.respond(Outcome.UNCLEAR);
        }
    }

    /** Parses a heartbeat; throws a runtime exception if a member is missing or has another type. */
    private static Registration parseRegistration(JsonObject json) {
        long weights = UNREPORTED;
        if (json.get("models") instanceof JsonArray models && !models.isEmpty()) {
            weights = models.getJsonObject(0).getInt("revision", UNREPORTED);
        }
        boolean draining = json.getString("state", "ready").equals("draining");
        Engine engine = new Engine(
                json.getInt("capacity", 1),
                integer(json, "warmupLeftMs", 0),
                draining,
                integer(json, "remainingMs", UNREPORTED),
                weights,
                json.getString("service"),
                NodeId.of(json.getString("address")).toString(),
                json.getString("zone", ""),
                json.getString("revision", ""));
        long sequence = json.get("callSeq") instanceof JsonNumber number ? number.longValue() : 0;
        return new Registration(engine, sequence);
    }

    private static int integer(JsonObject json, String name, int defaultValue) {
        return json.get(name) instanceof JsonNumber number ? number.intValue() : defaultValue;
    }

    /** Responds with the target of the next heartbeat; if the engine drains, after its draining state is committed. */
    private void acknowledge(ApiExchange exchange, String id, Engine engine) {
        String nearest = node.queries().nearestControlNode(engine.zone());
        String text = nearest.isEmpty() ? "{}" : "{\"heartbeatTarget\":\"" + nearest + "\"}";
        byte[] answer = text.getBytes(UTF_8);
        if (!engine.draining()) {
            exchange.respond(Outcome.TAKEN, answer);
            return;
        }
        node.replication()
                .call(
                        CallKind.DRAIN,
                        0,
                        id,
                        ApiExchange.NO_BODY,
                        (outcome, body) ->
                                exchange.respond(outcome, outcome == Outcome.TAKEN ? answer : ApiExchange.NO_BODY));
    }
}
