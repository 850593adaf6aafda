package ringspindle.shard;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import jakarta.json.spi.JsonProvider;
import java.io.StringReader;
import java.util.Collection;
import java.util.List;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.NodeId;

/**
 * Who holds a shard, as the control state says. Every member holds all that was committed in earlier epochs, so that any of
 * them may lead the next one.
 *
 * @param epoch fences: a replica that follows it refuses leaders of earlier ones; each assignment has the next
 * @param leader one of the members
 * @param leaderBoot the start of the leader's process that leads; after another start it does not
 * @param members the replicas whose disks an entry must be on before it is committed
 * @param learners replicas that are being filled; one becomes a member once the leader has reported it
 */
public record ShardAssignment(
        int shard,
        long epoch,
        ShardMember leader,
        long leaderBoot,
        List<ShardMember> members,
        List<ShardMember> learners) {
    /** How many shards there are. */
    public static final int SHARDS = 8;

    private static final JsonProvider JSON = JsonProvider.provider();
    private static final int STORE_RADIX = 16;

    /** Copies the lists. */
    public ShardAssignment {
        members = List.copyOf(members);
        learners = List.copyOf(learners);
    }

    /** The shard that keeps the jobs of a tenant on a route, so that what may wait there is counted in one place. */
    public static int shardOf(String tenant, String route) {
        return Math.floorMod((tenant + "\n" + route).hashCode(), SHARDS);
    }

    /** True if that node is a member or a learner, with whatever disk. */
    public boolean names(NodeId node) {
        return members.stream().anyMatch(member -> member.node().equals(node))
                || learners.stream().anyMatch(learner -> learner.node().equals(node));
    }

    /** As JSON; {@code ShardAssignment.read(assignment.write()).equals(assignment)}. */
    public String write() {
        return JSON.createObjectBuilder()
                .add("shard", shard)
                .add("epoch", epoch)
                .add("leader", leader.node().toString())
                .add("store", Long.toHexString(leader.store()))
                .add("boot", leaderBoot)
                .add("members", array(members))
                .add("learners", array(learners))
                .build()
                .toString();
    }

    private static JsonArrayBuilder array(List<ShardMember> replicas) {
        JsonArrayBuilder array = JSON.createArrayBuilder();
        replicas.forEach(replica -> array.add(JSON.createObjectBuilder()
                .add("node", replica.node().toString())
                .add("store", Long.toHexString(replica.store()))));
        return array;
    }

    /** Reads what {@link #write} wrote; throws a {@link RuntimeException} on anything else. */
    public static ShardAssignment read(String json) {
        try (JsonReader reader = JSON.createReader(new StringReader(json))) {
            JsonObject fields = reader.readObject();
            return new ShardAssignment(
                    fields.getInt("shard"),
                    fields.getJsonNumber("epoch").longValueExact(),
                    new ShardMember(NodeId.of(fields.getString("leader")), store(fields)),
                    fields.getJsonNumber("boot").longValueExact(),
                    replicas(fields, "members"),
                    replicas(fields, "learners"));
        }
    }

    /** Reads the facts of a node about shards. */
    public static List<ShardAssignment> readAll(Collection<Fact> facts) {
        return facts.stream().map(fact -> read(new String(fact.value(), UTF_8))).toList();
    }

    private static List<ShardMember> replicas(JsonObject fields, String key) {
        return fields.getJsonArray(key).getValuesAs(JsonObject.class).stream()
                .map(replica -> new ShardMember(NodeId.of(replica.getString("node")), store(replica)))
                .toList();
    }

    private static long store(JsonObject fields) {
        return Long.parseUnsignedLong(fields.getString("store"), STORE_RADIX);
    }
}
