package ringspindle.batch;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonArrayBuilder;
import jakarta.json.spi.JsonProvider;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import ringspindle.protocol.BatchMessage.JobAccepted;
import ringspindle.protocol.BatchMessage.JobItemData;

/** A job as committed records have made it. Results are listed in the order of their records. Confined to its {@link JobTable}. */
public final class Job {
    private static final JsonProvider JSON = JsonProvider.provider();
    /** A page of results holds so many bytes of text at most, and one result at least. */
    static final int PAGE_BYTES_MAX = 800 << 10;

    private final String id;
    private final String route;
    private final String host;
    private final String tenant;
    private final int maxWaitS;
    private final List<JobItem> items = new ArrayList<>();
    private final List<JobItem> results = new ArrayList<>();
    private final long learntMs;
    private boolean ended;

    Job(JobAccepted accepted, long nowMs) {
        id = accepted.job();
        route = accepted.route();
        host = accepted.host();
        tenant = accepted.tenant();
        maxWaitS = accepted.maxWaitS();
        learntMs = nowMs;
        for (JobItemData data : accepted.items()) {
            items.add(new JobItem(items.size(), data));
        }
    }

    /** Its id. */
    public String id() {
        return id;
    }

    /** The name of the route that it came in by. */
    public String route() {
        return route;
    }

    /** The host of its items' requests. */
    public String host() {
        return host;
    }

    /** Whose job it is, empty where there are no tenants. */
    public String tenant() {
        return tenant;
    }

    /** Seconds after which an item may be given up. */
    public int maxWaitS() {
        return maxWaitS;
    }

    /** When this node learnt of it, on its steady clock: not before the client sent it. */
    public long learntMs() {
        return learntMs;
    }

    /** Its items as they were sent. */
    public List<JobItem> items() {
        return Collections.unmodifiableList(items);
    }

    /** True once its client has ended it. */
    public boolean isEnded() {
        return ended;
    }

    /** True once nothing of it is to be run. */
    public boolean isClosed() {
        return ended || results.size() == items.size();
    }

    /** How many results it has. */
    public int resultCount() {
        return results.size();
    }

    /** Tokens of the items that are neither listed nor of an ended job. */
    long waitingTokens() {
        return ended
                ? 0
                : items.stream()
                        .filter(item -> !item.isListed())
                        .mapToLong(JobItem::tokens)
                        .sum();
    }

    /** The item with that id, empty if there is none. */
    public Optional<JobItem> item(String instance) {
        return items.stream().filter(item -> item.instance().equals(instance)).findFirst();
    }

    void end() {
        ended = true;
    }

    /** Gives an item its position; one that has a position keeps it. */
    void list(int index, JobItem.State state, byte[] text) {
        JobItem item = items.get(index);
        if (!item.isListed()) {
            item.list(state, text);
            results.add(item);
        }
    }

    /** The page of results from that position on, as JSON. */
    public byte[] page(long position) {
        JsonArrayBuilder listed = JSON.createArrayBuilder();
        int from = (int) Math.max(0, Math.min(position, results.size()));
        int next = from;
        long bytes = 0;
        while (next < results.size()
                && (next == from || bytes + results.get(next).text().length <= PAGE_BYTES_MAX)) {
            JobItem item = results.get(next);
            bytes += item.text().length;
            listed.add(JSON.createObjectBuilder()
                    .add("instanceId", item.instance())
                    .add("state", item.state().onWire())
                    .add("message", new String(item.text(), UTF_8)));
            next++;
        }
        return JSON.createObjectBuilder()
                .add("total", items.size())
                .add("nextToken", next)
                .add("results", listed)
                .build()
                .toString()
                .getBytes(UTF_8);
    }
}
