package ringspindle.telemetry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ringspindle.protocol.Message.EngineLoad;
import ringspindle.protocol.Message.RegionLoad;

/** From a summary to what goes back to data nodes: totals by engine, and by service of a region. Stateless. */
public final class LoadTotals {
    /**
     * An engine of the fleet.
     *
     * @param key {@link EngineKey} of its id
     * @param capacity how many requests it runs at once
     */
    public record Member(long key, String service, String region, int capacity) {}

    private static final class ServiceTotals {
        int engines;
        int free;
        int running;
        int answered;
        int failed;

        void add(Member member, AttemptCounts counts) {
            engines++;
            free += Math.max(0, member.capacity() - counts.running());
            running += counts.running();
            answered += counts.answered();
            failed += counts.failed();
        }
    }

    private LoadTotals() {}

    /** Totals of every engine of which anything was seen, by their keys in ascending order. */
    public static List<EngineLoad> byEngine(LoadSummary summary) {
        List<EngineLoad> loads = new ArrayList<>();
        for (long key : summary.engineKeys()) {
            AttemptCounts counts = summary.counts(key);
            if (!counts.isEmpty()) {
                loads.add(new EngineLoad(
                        key,
                        WireLimits.u16(counts.answered()),
                        WireLimits.u16(counts.failed()),
                        WireLimits.u16(counts.running()),
                        WireLimits.u32(counts.tokens())));
            }
        }
        return loads;
    }

    /** Totals of the members in that region by service, in the order of the services' names. */
    public static List<RegionLoad> byService(LoadSummary summary, Collection<Member> members, String region) {
        Map<String, ServiceTotals> totals = new TreeMap<>();
        for (Member member : members) {
            if (member.region().equals(region)) {
                totals.computeIfAbsent(member.service(), service -> new ServiceTotals())
                        .add(member, summary.counts(member.key()));
            }
        }
        List<RegionLoad> loads = new ArrayList<>();
        totals.forEach((service, total) -> loads.add(new RegionLoad(
                region, service, total.engines, total.free, total.running, total.answered, total.failed)));
        return loads;
    }
}
