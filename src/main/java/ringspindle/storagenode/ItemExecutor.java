package ringspindle.storagenode;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.http.HttpFields;
import ringspindle.config.FleetConfig;
import ringspindle.protocol.BatchMessage.ItemCancel;
import ringspindle.protocol.BatchMessage.ItemEnd;
import ringspindle.protocol.BatchMessage.ItemRun;
import ringspindle.protocol.ItemOutcome;
import ringspindle.protocol.NodeId;
import ringspindle.proxy.ItemCall;
import ringspindle.proxy.ItemClient;

/**
 * Runs items for the leaders of shards, this node's own among them. What a leader asked for ends with the connection to it: a leader
 * that is cut off has its items run elsewhere. Thread safe.
 */
final class ItemExecutor implements ItemRunner {
    private static final byte[] NO_TEXT = {};

    /** Told how runs ended. */
    interface Listener {
        /** The run that a leader asked for has ended. */
        void ended(NodeId leader, ItemEnd end);
    }

    /** Identifies a run by who asked for it. */
    private record RunKey(NodeId leader, long id) {}

    /** A run that has not ended. What ends it removes it from the table first, so that its end is told once. */
    private final class ActiveRun implements ItemClient.Listener {
        private final RunKey key;
        private final ItemCall call;

        ActiveRun(RunKey key, ItemClient.Item item) {
            this.key = key;
            call = client.create(item, this);
        }

        void begin() {
            ActiveRun earlier = runs.put(key, this);
            if (earlier != null) {
                earlier.call.cancel();
            }
            call.begin();
        }

        @Override
        public void onEnded(ItemOutcome outcome, byte[] output) {
            if (runs.remove(key, this)) {
                listener.ended(key.leader(), new ItemEnd(key.id(), outcome.code(), output));
            }
        }

        /** Ends it without a word to its leader; false if it has ended already. */
        boolean cancel() {
            boolean active = runs.remove(key, this);
            if (active) {
                call.cancel();
            }
            return active;
        }
    }

    private final ItemClient client;
    private final StorageProxy proxy;
    private final Listener listener;
    private final Map<RunKey, ActiveRun> runs = new ConcurrentHashMap<>();

    ItemExecutor(ItemClient client, StorageProxy proxy, Listener listener) {
        this.client = client;
        this.proxy = proxy;
        this.listener = listener;
    }

    @Override
    public void run(NodeId leader, ItemRun run) {
        FleetConfig config = proxy.configurationInForce();
        if (config == null || !proxy.isReady()) {
            listener.ended(leader, new ItemEnd(run.id(), ItemOutcome.NO_CAPACITY.code(), NO_TEXT));
            return;
        }
        FleetConfig.Route route = config.find(run.host(), pathOnly(run.path()));
        if (route == null || route.kind() != FleetConfig.Kind.BATCH) {
            listener.ended(leader, new ItemEnd(run.id(), ItemOutcome.NO_ROUTE.code(), NO_TEXT));
            return;
        }
        ItemClient.Item item = new ItemClient.Item(
                run.item(), run.host(), run.path(), run.tenant(), headers(run.headers()), run.body(), route);
        new ActiveRun(new RunKey(leader, run.id()), item).begin();
    }

    @Override
    public int capacity() {
        FleetConfig config = proxy.configurationInForce();
        return config == null
                ? 0
                : config.routes().stream()
                        .filter(route -> route.kind() == FleetConfig.Kind.BATCH)
                        .flatMap(route -> route.targets().stream())
                        .map(FleetConfig.Target::service)
                        .distinct()
                        .mapToInt(client::capacityInService)
                        .sum();
    }

    private static String pathOnly(String path) {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }

    private static HttpFields headers(byte[] block) {
        HttpFields.Mutable fields = HttpFields.build();
        new String(block, UTF_8).lines().forEach(line -> {
            int colon = line.indexOf(':');
            if (colon > 0) {
                fields.add(line.substring(0, colon), line.substring(colon + 1).trim());
            }
        });
        return fields;
    }

    @Override
    public void cancel(NodeId leader, ItemCancel cancel) {
        ActiveRun run = runs.get(new RunKey(leader, cancel.id()));
        if (run != null) {
            run.cancel();
        }
    }

    /** A leader that is connected again by now is told, in case it asked over the newer connection already. */
    @Override
    public void closed(NodeId leader) {
        for (ActiveRun run : List.copyOf(runs.values())) {
            if (run.key.leader().equals(leader) && run.cancel()) {
                listener.ended(leader, new ItemEnd(run.key.id(), ItemOutcome.BROKEN.code(), NO_TEXT));
            }
        }
    }
}
