package ringspindle.telemetry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ringspindle.protocol.Message.EngineLoad;
import ringspindle.protocol.Message.RegionLoad;

/** From sums to what goes back: engines with their totals, regions by service. Pure. */
public final class LoadTotals {
    /** An engine as the collector knows it. */
    public record Member(long key, String service, String region, int capacity) {}

    private LoadTotals() {}

    /** Every engine of which anything was seen; {@code LoadTotals.engines(sum)}. */
    public static List<EngineLoad> engines(LoadSummary s) {
        List<EngineLoad> out = new ArrayList<>();
        for (long key : s.engines()) {
            AttemptCounts t = s.all(key);
            if (!t.empty()) {
                out.add(new EngineLoad(
                        key,
                        Math.min(65534, t.answered()),
                        Math.min(65534, t.failed()),
                        Math.min(65534, t.running()),
                        Math.min(4294967294L, t.tokens())));
            }
        }
        return out;
    }

    /** One region by service; {@code LoadTotals.region(sum, members, "ahd")}. */
    public static List<RegionLoad> region(LoadSummary s, Collection<Member> members, String region) {
        Map<String, int[]> by = new TreeMap<>();
        for (Member m : members) {
            if (m.region().equals(region)) {
                AttemptCounts t = s.all(m.key());
                int[] n = by.computeIfAbsent(m.service(), k -> new int[5]);
                n[0]++;
                n[1] += Math.max(0, m.capacity() - t.running());
                n[2] += t.running();
                n[3] += t.answered();
                n[4] += t.failed();
            }
        }
        List<RegionLoad> out = new ArrayList<>();
        by.forEach((service, n) -> out.add(new RegionLoad(region, service, n[0], n[1], n[2], n[3], n[4])));
        return out;
    }
}
