package ringspindle.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import ringspindle.loadbalancing.RendezvousHash;
import ringspindle.routing.Affinity;
import ringspindle.routing.FallbackTarget;
import ringspindle.routing.RequestAttributes;
import ringspindle.routing.ServingRule;
import ringspindle.routing.ServingRules;
import ringspindle.telemetry.EngineKey;

/** Says which rule a request falls under, which engine has affinity to it, and where else it may go. */
final class Explain {
    private static final int CANDIDATES_SHOWN = 3;

    /** An engine that may serve the request. */
    record Candidate(String id, String zone, String region, String state) {}

    private Explain() {}

    /**
     * The explanation, a line each for the rule, the class, the affinity and the fallbacks.
     *
     * @param prefix the request's Prompt-Prefix, empty for none
     * @param engines engines that may serve it, none if they are not known
     */
    static List<String> lines(ServingRules rules, RequestAttributes request, String prefix, List<Candidate> engines) {
        ServingRule rule = rules.match(request);
        Affinity.Key key = rule.affinity() == null
                ? Affinity.defaultKey(prefix)
                : rule.affinity().key(prefix);
        List<String> lines = new ArrayList<>();
        lines.add("rule       " + ruleText(rules, rule));
        lines.add("class      " + classText(rules, rule));
        lines.add("affinity   " + affinityText(rule.affinity(), key));
        if (key.hash() != 0) {
            lines.addAll(ranking(key, engines));
        }
        lines.add("when busy  " + fallbackText(rule.whenBusy()));
        lines.add("when gone  " + fallbackText(rule.whenUnavailable()));
        return lines;
    }

    private static String ruleText(ServingRules rules, ServingRule rule) {
        String reason =
                rule.name().equals(ServingRules.DEFAULT_CLASS) ? "as no rule before it fits" : "the first that fits";
        return rule.name() + " of revision " + rules.revision() + ", " + reason;
    }

    private static String classText(ServingRules rules, ServingRule rule) {
        return "rank " + (rule.rank() < 0 ? "as the route says" : rule.rank())
                + ", share kept " + rule.share()
                + ", left to others " + String.format(Locale.ROOT, "%.2f", rules.shareReservedForOthers(rule))
                + ", waits " + (rule.waitMs() < 0 ? "as without rules" : rule.waitMs() + " ms");
    }

    private static String affinityText(Affinity affinity, Affinity.Key key) {
        String by =
                affinity == null ? "as without rules" : affinity.basis().name().toLowerCase(Locale.ROOT);
        if (key.hash() == 0) {
            return by + ", nothing is shared, so no engine holds it";
        }
        return by + ", key " + Long.toHexString(key.hash()) + ", " + key.sharedTokens() + " tokens shared";
    }

    /** The engines that rank first for the key, as the load balancer ranks them. */
    private static List<String> ranking(Affinity.Key key, List<Candidate> engines) {
        List<Candidate> ranked = new ArrayList<>(engines);
        ranked.sort(Comparator.comparingLong(engine -> RendezvousHash.rank(EngineKey.of(engine.id()), key.hash())));
        List<String> lines = new ArrayList<>();
        for (Candidate engine : ranked.subList(0, Math.min(CANDIDATES_SHOWN, ranked.size()))) {
            String label = lines.isEmpty() ? "holder     " : "next       ";
            lines.add(label + engine.id() + " in " + engine.zone() + ", " + engine.state());
        }
        return lines;
    }

    private static String fallbackText(List<FallbackTarget> targets) {
        if (targets.isEmpty()) {
            return "as without rules: whichever costs least";
        }
        StringBuilder text = new StringBuilder();
        for (FallbackTarget target : targets) {
            text.append(text.isEmpty() ? "" : ", then ")
                    .append(target.waitMs() > 0 ? "after " + target.waitMs() + " ms " : "")
                    .append(target.scope().name().toLowerCase(Locale.ROOT))
                    .append(target.regions().isEmpty() ? "" : " " + String.join(" or ", target.regions()));
        }
        return text + ", then refused with Retry-After";
    }
}
