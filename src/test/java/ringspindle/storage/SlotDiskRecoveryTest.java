package ringspindle.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Relearn;
import ringspindle.storage.UnreadableStorageException.Reason;

/** Single faults by name: refused calls, leftovers of earlier generations, records that this version does not know. */
class SlotDiskRecoveryTest {
    /** Offsets in the SBE message header. */
    private static final int TEMPLATE = 2;

    private static final int SCHEMA = 4;
    private static final int VERSION = 6;

    private final SimulatedFolder folder = new SimulatedFolder();

    private static Message n(long id) {
        return new Relearn(id);
    }

    private SlotDisk loaded() throws IOException {
        SlotDisk disk = new SlotDisk(folder, record -> true);
        disk.load();
        return disk;
    }

    private void refuseNext(int skip) {
        folder.refuse(folder.operations() + 1 + skip, folder.operations() + 1 + skip);
    }

    private List<Message> reloaded() throws IOException {
        return new SlotDisk(folder.copy(), record -> true).load();
    }

    @Test
    void everyRefusalWithinAnImageLeavesADiskThatTakesAppends() throws Exception {
        SlotDisk disk = loaded();
        disk.snapshot(List.of(n(1)));
        disk.snapshot(List.of(n(1)));
        int before = folder.operations();
        disk.snapshot(List.of(n(1)));
        int operations = folder.operations() - before;
        for (int skip = 0; skip < operations; skip++) {
            disk.snapshot(List.of(n(1)));
            refuseNext(skip);
            assertThrows(IOException.class, () -> disk.snapshot(List.of(n(2))));
            disk.append(List.of(n(3)));
            List<Message> found = reloaded();
            assertEquals(n(3), found.get(found.size() - 1), "refused operation " + skip + ": " + found);
        }
    }

    @Test
    void recordsOfARefusedAppendDoNotComeBackBehindNewerOnes() throws Exception {
        SlotDisk disk = loaded();
        refuseNext(2);
        assertThrows(IOException.class, () -> disk.append(List.of(n(1), n(2))));
        disk.append(List.of(n(3)));
        assertEquals(List.of(n(3)), reloaded());
    }

    @Test
    void logsOfEarlierGenerationsAreRemovedAtLoad() throws Exception {
        SlotDisk disk = loaded();
        disk.snapshot(List.of(n(1)));
        disk.snapshot(List.of(n(2)));
        folder.put("log-0", RecordFormat.frame(Codec.encode(n(8)), 0).array());
        folder.put("log-1", RecordFormat.frame(Codec.encode(n(9)), 1).array());
        assertEquals(List.of(n(2)), new SlotDisk(folder, record -> true).load());
        assertEquals(List.of("log-2", "slot-0", "slot-1"), folder.list());
    }

    private void assertRefused(Reason reason) {
        String before = folder.contents();
        for (int start = 0; start < 2; start++) {
            UnreadableStorageException x =
                    assertThrows(UnreadableStorageException.class, () -> new SlotDisk(folder, record -> true).load());
            assertEquals(reason, x.reason());
            assertEquals(before, folder.contents());
        }
    }

    @Test
    void aNewestSlotThatIsOldOrBrokenIsNotPassedOver() throws Exception {
        SlotDisk disk = loaded();
        disk.snapshot(List.of(n(1)));
        byte[] old = folder.read("slot-1").orElseThrow();
        disk.snapshot(List.of(n(2)));
        disk.snapshot(List.of(n(3)));
        disk.append(List.of(n(4)));
        for (byte[] stale : new byte[][] {old, {1, 2, 3}, null}) {
            folder.put("slot-1", stale);
            assertRefused(Reason.LOST_SLOT);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {TEMPLATE, SCHEMA, VERSION})
    void recordsOfUnknownKindSchemaOrVersionAreRefusedInSlotAndLog(int offset) throws Exception {
        byte[] unknown = Codec.encode(n(1));
        unknown[offset] = 99;
        loaded().append(List.of(n(1)));
        folder.put("log-0", RecordFormat.frame(unknown, 0).array());
        assertRefused(Reason.UNKNOWN_RECORD);
        folder.put("log-0", null);
        loaded().snapshot(List.of(n(1)));
        byte[] slot = folder.read("slot-1").orElseThrow();
        System.arraycopy(
                RecordFormat.frame(unknown, 1).array(),
                0,
                slot,
                0,
                RecordFormat.frame(unknown, 1).capacity());
        folder.put("slot-1", slot);
        assertRefused(Reason.UNKNOWN_RECORD);
    }

    @Test
    void emptyAndCutRecordsInALogAreRefused() throws Exception {
        byte[] body = Codec.encode(n(1));
        loaded();
        folder.put("log-0", RecordFormat.end(0).array());
        assertRefused(Reason.UNKNOWN_RECORD);
        for (int size = 1; size < body.length; size++) {
            folder.put("log-0", RecordFormat.frame(Arrays.copyOf(body, size), 0).array());
            assertRefused(Reason.UNKNOWN_RECORD);
        }
    }
}
