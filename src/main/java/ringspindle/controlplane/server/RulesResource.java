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

    /** Answers with the committed rules. */
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
        List<ConfigError> errors = errors(body);
        if (!errors.isEmpty()) {
            String text = errors.stream().map(ConfigError::text).collect(Collectors.joining("; "));
            exchange.respond(Outcome.INVALID, text.getBytes(UTF_8));
            return;
        }
        node.replication().call(CallKind.RULES, base, "", body, exchange::respond);
    }

    /** Regions are known here; routes and models are known to the head of the chain, which checks them. */
    private List<ConfigError> errors(byte[] body) {
        Validated<ServingRules> read = ServingRules.read(body);
        if (read instanceof Validated.Invalid<ServingRules> invalid) {
            return invalid.errors();
        }
        ServingRules rules = ((Validated.Valid<ServingRules>) read).value();
        return ServingRulesValidator.validate(rules, null, node.config().regions());
    }
}
