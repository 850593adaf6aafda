package ringspindle.metering;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ringspindle.protocol.TenantMessage.UsageRow;

/** Counts of one node by window and tenant, of the last few windows. Thread safe; guarded by itself. */
public final class UsageCounter {
    /** So many windows are told, the one under way among them: a head that takes over hears of them still. */
    static final int WINDOWS_KEPT = 5;

    private final long windowMs;
    private final TreeMap<Long, Map<String, Long>> windows = new TreeMap<>();

    /** Counts by windows of that length. */
    public UsageCounter(long windowMs) {
        this.windowMs = windowMs;
    }

    /** An engine has begun a request of that tenant. */
    public synchronized void began(String tenant, long wallMs) {
        long window = wallMs / windowMs;
        windows.computeIfAbsent(window, number -> new TreeMap<>()).merge(tenant, 1L, Long::sum);
    }

    /** What was counted in the windows that are told still; older ones are forgotten. */
    public synchronized List<UsageRow> rows(long wallMs) {
        windows.headMap(wallMs / windowMs - WINDOWS_KEPT + 1).clear();
        List<UsageRow> rows = new ArrayList<>();
        windows.forEach((window, tenants) ->
                tenants.forEach((tenant, requests) -> rows.add(new UsageRow(window, tenant, requests))));
        return rows;
    }
}
