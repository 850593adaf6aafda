package ringspindle.metering;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.TenantMessage.UsageReport;
import ringspindle.protocol.TenantMessage.UsageRow;

/** What all nodes have told of windows. A report holds all that its process counted, so the greatest count of each counts. Thread safe; guarded by itself. */
public final class UsageLedger {
    private static final int WINDOWS_KEPT = 30;

    /** What one process counted for one tenant. */
    private record Source(NodeId origin, long life, String tenant) {}

    private final TreeMap<Long, Map<Source, Long>> windows = new TreeMap<>();

    /** A node's report came. */
    public synchronized void add(UsageReport report) {
        for (UsageRow row : report.rows()) {
            windows.computeIfAbsent(row.window(), window -> new HashMap<>())
                    .merge(new Source(report.origin(), report.life(), row.tenant()), row.requests(), Math::max);
        }
        while (windows.size() > WINDOWS_KEPT) {
            windows.pollFirstEntry();
        }
    }

    /** Requests by tenant in a window. */
    public synchronized Map<String, Long> counts(long window) {
        Map<String, Long> counts = new TreeMap<>();
        windows.getOrDefault(window, Map.of())
                .forEach((source, requests) -> counts.merge(source.tenant(), requests, Long::sum));
        return counts;
    }

    /** The first window that something is known of. */
    public synchronized OptionalLong firstWindow() {
        return windows.isEmpty() ? OptionalLong.empty() : OptionalLong.of(windows.firstKey());
    }

    /** The last window that something is known of. */
    public synchronized OptionalLong lastWindow() {
        return windows.isEmpty() ? OptionalLong.empty() : OptionalLong.of(windows.lastKey());
    }
}
