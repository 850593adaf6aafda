package ringspindle.sum;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ringspindle.wire.Msg.EngineLoad;
import ringspindle.wire.Msg.RegionLoad;

/** From sums to what goes back: engines with their totals, regions by service. Pure. */
public final class Totals {
    /** An engine as the collector knows it. */
    public record Member(long key, String service, String region, int capacity) {}

    private Totals() {}

    /** Every engine of which anything was seen; {@code Totals.engines(sum)}. */
    public static List<EngineLoad> engines(Sum s) {
        List<EngineLoad> out = new ArrayList<>();
        for (long key : s.engines()) {
            Tally t = s.all(key);
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

    /** One region by service; {@code Totals.region(sum, members, "ahd")}. */
    public static List<RegionLoad> region(Sum s, Collection<Member> members, String region) {
        Map<String, int[]> by = new TreeMap<>();
        for (Member m : members) {
            if (m.region().equals(region)) {
                Tally t = s.all(m.key());
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
