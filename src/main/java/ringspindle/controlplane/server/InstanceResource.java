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

/** Heartbeats of engines, by which they register, and their removal. */
final class InstanceResource {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int BODY_MAX = 64 << 10;
    /** Stands for a number that an engine does not tell. */
    private static final int NOT_TOLD = -1;

    /** An engine and the number of its heartbeat. */
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

    /** Takes an engine's heartbeat. */
    void heartbeat(ApiExchange exchange) {
        exchange.readBody(BODY_MAX, body -> heartbeat(exchange, body));
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
        boolean taken;
        try {
            registration = registration(json.value());
            taken = node.engines().heartbeat(id, registration.engine(), registration.sequence());
        } catch (RuntimeException unreadable) {
            LOG.atInfo()
                    .with(LogField.ENGINE, id)
                    .with(LogField.REASON, unreadable)
                    .log("heartbeat of an engine cannot be read");
            exchange.respond(Outcome.MALFORMED);
            return;
        }
        if (taken) {
            acknowledge(exchange, id, registration.engine());
        } else {
            exchange.respond(Outcome.UNCLEAR);
        }
    }

    /** Reads a heartbeat; throws what the JSON library throws if a member is missing or of another type. */
    private static Registration registration(JsonObject json) {
        long weights = NOT_TOLD;
        if (json.get("models") instanceof JsonArray models && !models.isEmpty()) {
            weights = models.getJsonObject(0).getInt("revision", NOT_TOLD);
        }
        boolean draining = json.getString("state", "ready").equals("draining");
        Engine engine = new Engine(
                json.getInt("capacity", 1),
                integer(json, "warmupLeftMs", 0),
                draining,
                integer(json, "remainingMs", NOT_TOLD),
                weights,
                json.getString("service"),
                NodeId.of(json.getString("address")).toString(),
                json.getString("zone", ""),
                json.getString("revision", ""));
        long sequence = json.get("callSeq") instanceof JsonNumber number ? number.longValue() : 0;
        return new Registration(engine, sequence);
    }

    private static int integer(JsonObject json, String name, int otherwise) {
        return json.get(name) instanceof JsonNumber number ? number.intValue() : otherwise;
    }

    /** Answers where the next heartbeat should go, once a draining engine is committed as such. */
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
