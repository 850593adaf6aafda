package ringspindle.controlplane;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import ringspindle.config.FleetConfig;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.Entry;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.Op;
import ringspindle.protocol.Message.Position;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.TakenOrder;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.Message.Vote;
import ringspindle.protocol.NodeId;
import ringspindle.replication.ReplicatedState;
import ringspindle.replication.Rollout;
import ringspindle.storage.Disk;
import ringspindle.storage.UnreadableStorageException;

/** Data written by a control node at commit 879a0b1 can be read, and the current code writes the same bytes. */
class StoredDataTest {
    private static final String RESOURCES = "/stored-data-879a0b1/";
    private static final String OLDER_SLOT = "slot-1";
    private static final String NEWER_SLOT = "slot-0";
    private static final String LOG = "log-4";
    private static final String ENGINES = "engines";
    private static final List<String> FILES = List.of(OLDER_SLOT, NEWER_SLOT, LOG, ENGINES);

    private static final NodeId A = NodeId.of("10.0.0.1:7000");
    private static final NodeId B = NodeId.of("10.0.0.2:7000");
    private static final NodeId C = NodeId.of("10.0.0.3:7000");
    private static final List<NodeId> VOTERS = List.of(A, B, C);
    private static final View VIEW = new View(2, VOTERS, List.of(A, B), new Position(1, 2));
    private static final View NEXT_VIEW = new View(3, VOTERS, List.of(B, A), new Position(2, 10));
    /** The promise and the accepted proposal for the next view, which is the last record. */
    private static final Vote LAST_VOTE = new Vote(3, 1026, 1026, NEXT_VIEW, VIEW);

    private static final long FIRST_DIGEST = -5275633259731157873L;
    private static final long SECOND_DIGEST = -5436588999356980419L;
    private static final long RULES_DIGEST = -4998462923779231862L;
    private static final long PATCH_DIGEST = 269719543056127170L;
    /** Placeholder for the revision of a command on serving rules. */
    private static final long NO_REVISION = -1;

    private static final String ROLLOUT = "{\"service\":\"chat\",\"target\":8,\"from\":7,\"atOnce\":2,\"floor\":0.75,"
            + "\"patienceS\":90,\"state\":\"RUNNING\",\"cause\":\"\",\"epoch\":2,\"turn\":[],\"swapped\":[]}";
    private static final String RULES =
            "{\"revision\":3,\"rules\":[{\"name\":\"digests\",\"match\":{\"route\":\"digests\"},"
                    + "\"class\":{\"share\":0.7}}],\"default\":{}}";

    @TempDir
    Path folder;

    @BeforeEach
    void copyStoredData() throws IOException {
        for (String file : FILES) {
            Files.write(folder.resolve(file), stored(file));
        }
    }

    private static byte[] stored(String file) throws IOException {
        try (InputStream in = StoredDataTest.class.getResourceAsStream(RESOURCES + file)) {
            assertNotNull(in, file);
            return in.readAllBytes();
        }
    }

    private List<Message> load() throws IOException {
        return new DiskStorage(folder, Runnable::run).replication().load();
    }

    private static String config(long revision, int connections) {
        return "{\"revision\":" + revision
                + ",\"routes\":[{\"name\":\"digests\",\"host\":\"digests.example\",\"pathPrefix\":\"/v1/\","
                + "\"routeKind\":\"idempotent\",\"deadlineMs\":1000,\"service\":\"chat\"}],\"services\":[{\"name\":\"chat\","
                + "\"healthPath\":\"/health\",\"maxConnections\":" + connections
                + ",\"warmupS\":3.0,\"warmupPerS\":21.0}]}";
    }

    private static void assertState(
            State state, Position position, long revision, List<TakenOrder> past, List<Mark> marks, String config) {
        assertEquals(position, new Position(state.lineage(), state.seq()));
        assertEquals(revision, state.revision());
        assertEquals(past, state.past());
        assertEquals(marks, state.marks());
        assertEquals(config, new String(FleetConfig.unpack(state.config()), UTF_8));
    }

    private static void assertOp(
            Message record, long seq, int kind, long base, long revision, long digest, String arg, String body) {
        Entry entry = assertInstanceOf(Entry.class, record);
        assertEquals(2, entry.epoch());
        assertEquals(seq, entry.seq());
        Op op = assertInstanceOf(Op.class, Codec.decode(entry.op()));
        assertEquals(kind, op.kind());
        assertEquals(base, op.base());
        assertEquals(revision, op.revision());
        assertEquals(digest, op.digest());
        assertEquals(arg, op.arg());
        assertEquals(body, kind == 2 ? new String(FleetConfig.unpack(op.body()), UTF_8) : new String(op.body(), UTF_8));
    }

    @Test
    void recordsAreRead() throws Exception {
        List<Message> records = load();
        assertEquals(9, records.size());
        assertEquals(new Vote(2, 0, 0, null, VIEW), records.get(0));
        assertState(
                assertInstanceOf(State.class, records.get(1)),
                new Position(2, 5),
                2,
                List.of(new TakenOrder(1, FIRST_DIGEST), new TakenOrder(2, SECOND_DIGEST)),
                List.of(
                        new Mark(1, "ahd-1", 2, "on"),
                        new Mark(3, "chat", 3, ROLLOUT),
                        new Mark(2, "i-5", 4, "draining")),
                config(2, 20));
        assertOp(records.get(2), 6, 3, 0, 0, 0, "srt-2", "");
        assertOp(records.get(3), 7, 4, 2, 0, 0, "ahd-1", "");
        assertOp(records.get(4), 8, 6, 0, 0, 0, "i-5", "");
        assertOp(records.get(5), 9, 9, 0, 3, RULES_DIGEST, "", RULES);
        assertOp(records.get(6), 10, 2, 2, 3, PATCH_DIGEST, "", config(3, 30));
        assertEquals(new Vote(3, 1026, 0, null, VIEW), records.get(7));
        assertEquals(LAST_VOTE, records.get(8));
        assertEquals(9, load().size(), "a second load returns the same number of records");
    }

    @Test
    void nodeStartsWithStoredPromisesAndState() throws Exception {
        // bootstrap flag and other seeds as in a first start: stored records override the settings
        ReplicatedState node = ReplicatedState.create(A, List.of(A), true, load(), 7, 1);
        assertFalse(node.relearning());
        assertEquals(VIEW, node.view());
        assertNull(node.committed(), "not committed until a view confirms it");
        assertEquals(2, node.durableRecords().size());
        assertEquals(LAST_VOTE, node.durableRecords().get(0));
        State state = assertInstanceOf(State.class, node.durableRecords().get(1));
        assertState(
                state,
                new Position(2, 10),
                3,
                List.of(
                        new TakenOrder(1, FIRST_DIGEST),
                        new TakenOrder(2, SECOND_DIGEST),
                        new TakenOrder(NO_REVISION, RULES_DIGEST),
                        new TakenOrder(3, PATCH_DIGEST)),
                List.of(
                        new Mark(3, "chat", 3, ROLLOUT),
                        new Mark(1, "srt-2", 6, "on"),
                        new Mark(1, "ahd-1", 7, "off"),
                        new Mark(2, "i-5", 8, "gone"),
                        new Mark(4, "", 9, RULES)),
                config(3, 30));
        Rollout rollout = Rollout.read(state.marks().get(0).value());
        assertEquals("chat", rollout.service());
        assertEquals(8, rollout.targetWeights());
        assertEquals("RUNNING", rollout.status().name());
        assertEquals(ROLLOUT, rollout.write());
    }

    @Test
    void olderSlotIsReadWhereTheNewerOneWasNeverWritten() throws Exception {
        Files.delete(folder.resolve(NEWER_SLOT));
        assertEquals(
                UnreadableStorageException.Reason.LOST_SLOT,
                assertThrows(UnreadableStorageException.class, this::load).reason(),
                "the log refers to a newer slot");
        Files.delete(folder.resolve(LOG));
        List<Message> records = load();
        assertEquals(2, records.size());
        assertEquals(new Vote(2, 0, 0, null, VIEW), records.get(0));
        State state = assertInstanceOf(State.class, records.get(1));
        assertEquals(new Position(2, 4), new Position(state.lineage(), state.seq()));
        assertEquals(config(1, 10), new String(FleetConfig.unpack(state.config()), UTF_8));
    }

    @Test
    void sameRecordsAreWrittenAsTheSameBytes() throws Exception {
        List<Message> records = load();
        Files.delete(folder.resolve(NEWER_SLOT));
        Files.delete(folder.resolve(LOG));
        Disk disk = Disk.open(folder);
        List<Message> older = disk.load();
        disk.snapshot(records.subList(0, 2));
        disk.append(records.subList(2, 3));
        disk.append(records.subList(3, records.size()));
        assertArrayEquals(stored(NEWER_SLOT), Files.readAllBytes(folder.resolve(NEWER_SLOT)));
        assertArrayEquals(stored(LOG), Files.readAllBytes(folder.resolve(LOG)));

        Path fresh = folder.resolve("fresh");
        Disk other = Disk.open(fresh);
        other.load();
        for (int generation = 1; generation <= 3; generation++) {
            other.snapshot(older);
        }
        assertArrayEquals(stored(OLDER_SLOT), Files.readAllBytes(fresh.resolve(OLDER_SLOT)));
    }

    @Test
    void recordsAreAppendedAfterTheStoredOnes() throws Exception {
        Disk disk = Disk.open(folder);
        disk.load();
        disk.append(List.of(new Vote(4, 1, 0, null, NEXT_VIEW)));
        List<Message> records = load();
        assertEquals(10, records.size());
        assertEquals(LAST_VOTE, records.get(8));
        assertEquals(new Vote(4, 1, 0, null, NEXT_VIEW), records.get(9));
    }

    @Test
    void enginesAreReadAndWrittenAsTheSameBytes() throws Exception {
        List<Fact> engines = new DiskStorage(folder, Runnable::run).cachedEngines();
        assertEquals(2, engines.size());
        assertEngine(
                engines.get(0), "i-1", 0, 7, new Engine(8, 1500, false, -1, 7, "chat", "10.0.1.1:80", "ahd-1", "r1"));
        assertEngine(
                engines.get(1), "i-5", 3, 9, new Engine(64, 0, true, 2500, -1, "chat", "10.0.1.5:80", "srt-2", "r2"));
        Files.delete(folder.resolve(ENGINES));
        new EngineCacheFile(folder.resolve(ENGINES), Runnable::run).store(engines);
        assertArrayEquals(stored(ENGINES), Files.readAllBytes(folder.resolve(ENGINES)));
    }

    private static void assertEngine(Fact fact, String key, long life, long version, Engine engine) {
        assertEquals(4, fact.kindCode());
        assertEquals(key, fact.key());
        assertEquals(life, fact.life());
        assertEquals(version, fact.version());
        assertEquals(engine, Codec.decode(fact.value()));
    }
}
