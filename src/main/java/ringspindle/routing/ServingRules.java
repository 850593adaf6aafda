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
 * The operators' serving rules: an ordered list of which the first that matches a request applies, closed by a default
 * rule. Immutable.
 */
public final class ServingRules {
    /** Most bytes of a document. */
    public static final int MAX_BYTES = 64 << 10;
    /** Name of the default rule, and the class of the requests that no other rule matches. */
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
     * Reads a JSON document and checks it by itself. {@link ServingRulesValidator} checks its names.
     *
     * <pre>{@code
     * Validated<ServingRules> rules = ServingRules.read(Files.readAllBytes(path));
     * }</pre>
     */
    public static Validated<ServingRules> read(byte[] body) {
        return ServingRulesParser.parse(body);
    }

    /** The rule that applies to a request. */
    public ServingRule match(RequestAttributes request) {
        for (ServingRule rule : rules) {
            if (rule.match().matches(request)) {
                return rule;
            }
        }
        return defaultRule;
    }

    /** Share of an engine's capacity that requests of this rule must leave to other classes, 0 to 1. */
    public double shareReservedForOthers(ServingRule rule) {
        return Math.max(0, totalShare - rule.share());
    }

    /** Share of an engine's capacity that is reserved for all classes together. */
    double totalShare() {
        return totalShare;
    }

    /** Names of the rules whose route the configuration does not have; they stay valid and never apply. */
    public List<String> rulesWithUnknownRoute(FleetConfig configuration) {
        Set<String> routes = new HashSet<>();
        configuration.routes().forEach(route -> routes.add(route.name()));
        return rules.stream()
                .filter(rule -> !rule.match().route().isEmpty()
                        && !routes.contains(rule.match().route()))
                .map(ServingRule::name)
                .toList();
    }

    /** All rules in their order, the default rule last. */
    public List<ServingRule> all() {
        List<ServingRule> all = new ArrayList<>(rules);
        all.add(defaultRule);
        return all;
    }

    /** Revision of the document, 1 or more. */
    public long revision() {
        return revision;
    }

    /** The document as it was sent. */
    public JsonObject source() {
        return source;
    }

    /** The document's bytes as they are stored and passed on. */
    public byte[] bytes() {
        return source.toString().getBytes(UTF_8);
    }

    /** Digest of {@link #bytes}, the same for the same document on every node. */
    public long digest() {
        return Hashing.sha256().hashBytes(bytes()).asLong();
    }
}
