package ringspindle.routing;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hashing;
import jakarta.json.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;

/**
 * Serving rules configured by operators. The first rule in the list that matches a request applies, else the default
 * rule. Immutable.
 */
public final class ServingRules {
    /** Maximum size of a document in bytes. */
    public static final int MAX_BYTES = 64 << 10;
    /** Name of the default rule and class of requests that match no other rule. */
    public static final String DEFAULT_CLASS = "plain";

    private final JsonObject source;
    private final long revision;
    private final List<ServingRule> rules;
    private final ServingRule defaultRule;
    private final double totalShare;

    ServingRules(JsonObject source, long revision, List<ServingRule> rules, ServingRule defaultRule) {
        this.source = source;
        this.revision = revision;
        this.rules = rules;
        this.defaultRule = defaultRule;
        totalShare = rules.stream().mapToDouble(ServingRule::share).sum() + defaultRule.share();
    }

    /**
     * Parses a JSON document without external references; {@link ServingRulesValidator} checks the names in it.
     *
     * <pre>{@code
     * Validated<ServingRules> rules = ServingRules.read(Files.readAllBytes(path));
     * }</pre>
     */
    public static Validated<ServingRules> read(byte[] body) {
        return ServingRulesParser.parse(body);
    }

    /** Returns the rule that applies to a request. */
    public ServingRule match(RequestAttributes request) {
        for (ServingRule rule : rules) {
            if (rule.match().matches(request)) {
                return rule;
            }
        }
        return defaultRule;
    }

    /** Returns the share of an engine's capacity, 0 to 1, reserved for classes other than this rule's. */
    public double shareReservedForOthers(ServingRule rule) {
        return Math.max(0, totalShare - rule.share());
    }

    /** Returns the share of an engine's capacity that is reserved for all classes together. */
    double totalShare() {
        return totalShare;
    }

    /** Returns the names of rules whose route is not configured; they stay valid but never apply. */
    public List<String> rulesWithUnknownRoute(FleetConfig configuration) {
        Set<String> routes = new HashSet<>();
        configuration.routes().forEach(route -> routes.add(route.name()));
        return rules.stream()
                .filter(rule -> !rule.match().route().isEmpty()
                        && !routes.contains(rule.match().route()))
                .map(ServingRule::name)
                .toList();
    }

    /** Returns all rules in order, the default rule last. */
    public List<ServingRule> all() {
        List<ServingRule> all = new ArrayList<>(rules);
        all.add(defaultRule);
        return all;
    }

    /** Returns the revision of the document, at least 1. */
    public long revision() {
        return revision;
    }

    /** Returns the document as received. */
    public JsonObject source() {
        return source;
    }

    /** Returns the serialized document as stored and replicated. */
    public byte[] bytes() {
        return source.toString().getBytes(UTF_8);
    }

    /** Returns a digest of {@link #bytes}, identical on every node for the same document. */
    public long digest() {
        return Hashing.sha256().hashBytes(bytes()).asLong();
    }
}
