package ringspindle.controlplane.server;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import ringspindle.api.Outcome;
import ringspindle.config.ConfigError;
import ringspindle.config.Validated;
import ringspindle.controlplane.ControlNode;
import ringspindle.replication.CallKind;
import ringspindle.routing.ServingRules;
import ringspindle.routing.ServingRulesValidator;

/** Reads and replaces the operators' serving rules. */
final class RulesResource {
    private final ControlNode node;

    RulesResource(ControlNode node) {
        this.node = node;
    }

    /** Responds with the committed rules. */
    void get(ApiExchange exchange) {
        node.replication()
                .call(
                        CallKind.READ,
                        0,
                        CallKind.RULES_ARGUMENT,
                        ApiExchange.NO_BODY,
                        (outcome, body) ->
                                exchange.respond(outcome, outcome == Outcome.TAKEN ? body : ApiExchange.NO_BODY));
    }

    /** Replaces the rules. */
    void put(ApiExchange exchange) {
        OptionalLong base = exchange.baseRevision();
        if (base.isEmpty()) {
            exchange.respond(Outcome.MALFORMED);
            return;
        }
        exchange.readBody(ServingRules.MAX_BYTES, body -> put(exchange, base.getAsLong(), body));
    }

    private void put(ApiExchange exchange, long base, byte[] body) {
        if (!node.serving().majorityReachable()) {
            exchange.respond(Outcome.UNCLEAR);
            return;
        }
        List<ConfigError> errors = validate(body);
        if (!errors.isEmpty()) {
            String text = errors.stream().map(ConfigError::text).collect(Collectors.joining("; "));
            exchange.respond(Outcome.INVALID, text.getBytes(UTF_8));
            return;
        }
        node.replication().call(CallKind.RULES, base, "", body, exchange::respond);
    }

    /**
     * Validates the rules against the known regions; the head of the chain validates routes and models, which it knows.
     */
    private List<ConfigError> validate(byte[] body) {
        Validated<ServingRules> parsed = ServingRules.read(body);
        if (parsed instanceof Validated.Invalid<ServingRules> invalid) {
            return invalid.errors();
        }
        ServingRules rules = ((Validated.Valid<ServingRules>) parsed).value();
        return ServingRulesValidator.validate(rules, null, node.config().regions());
    }
}
