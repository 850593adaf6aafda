package ringspindle.experiment;

import jakarta.json.JsonObject;
import jakarta.json.JsonValue;
import java.util.Optional;
import ringspindle.routing.CostWeights;
import ringspindle.routing.ServingRules;

/**
 * What may differ in the choice of engines: weights of the cost, and serving rules. Homes, evacuations, drains, warm-up,
 * budgets and at-most-once hold under every policy.
 *
 * @param source the document as the operator gave it
 * @param weights weights of the cost
 * @param rules serving rules in place of those in force; empty where the policy leaves these alone
 */
public record Policy(JsonObject source, CostWeights weights, Optional<ServingRules> rules) {
    /** The choice as it is without an experiment. */
    public static final Policy DEFAULT = new Policy(JsonValue.EMPTY_JSON_OBJECT, CostWeights.DEFAULT, Optional.empty());
}
