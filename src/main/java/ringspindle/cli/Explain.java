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
import ringspindle.telemetry.LoadSummary;

/** Which rule a request falls under, who holds it, and where else it may go. Pure. */
final class Explain {
    /** An engine that may be asked. */
    record Candidate(String id, String zone, String region, String state) {}

    private Explain() {}

    /** One line each; {@code Explain.lines(rules, asked, "5c1e07a2:800,91bd3f06:410", engines)}. */
    static List<String> lines(ServingRules rules, RequestAttributes asked, String prefix, List<Candidate> engines) {
        ServingRule r = rules.of(asked);
        List<String> out = new ArrayList<>();
        out.add("rule       " + r.name() + " of revision " + rules.revision()
                + (r.name().equals(ServingRules.PLAIN) ? ", as no rule before it fits" : ", the first that fits"));
        out.add("class      rank " + (r.rank() < 0 ? "as the route says" : r.rank()) + ", share kept " + r.share()
                + ", left to others " + String.format(Locale.ROOT, "%.2f", rules.kept(r)) + ", waits "
                + (r.waitMs() < 0 ? "as without rules" : r.waitMs() + " ms"));
        Affinity.Key key =
                r.affinity() == null ? Affinity.plain(prefix) : r.affinity().key(prefix);
        out.add("affinity   "
                + (r.affinity() == null
                        ? "as without rules"
                        : r.affinity().by().name().toLowerCase(Locale.ROOT)) + ", "
                + (key.key() == 0
                        ? "nothing is shared, so no engine holds it"
                        : "key " + Long.toHexString(key.key()) + ", " + key.sharedTokens() + " tokens shared"));
        if (key.key() != 0) {
            List<Candidate> ranked = new ArrayList<>(engines);
            ranked.sort(Comparator.comparingLong(e -> RendezvousHash.rank(LoadSummary.key(e.id()), key.key())));
            for (int i = 0; i < Math.min(3, ranked.size()); i++) {
                Candidate c = ranked.get(i);
                out.add((i == 0 ? "holder     " : "next       ") + c.id() + " in " + c.zone() + ", " + c.state());
            }
        }
        out.add("when busy  " + steps(r.busy()));
        out.add("when gone  " + steps(r.gone()));
        return out;
    }

    private static String steps(List<FallbackTarget> steps) {
        if (steps.isEmpty()) {
            return "as without rules: whichever costs least";
        }
        StringBuilder b = new StringBuilder();
        for (FallbackTarget s : steps) {
            b.append(b.length() == 0 ? "" : ", then ")
                    .append(s.waitMs() > 0 ? "after " + s.waitMs() + " ms " : "")
                    .append(s.to().name().toLowerCase(Locale.ROOT))
                    .append(s.regions().isEmpty() ? "" : " " + String.join(" or ", s.regions()));
        }
        return b + ", then refused with Retry-After";
    }
}
