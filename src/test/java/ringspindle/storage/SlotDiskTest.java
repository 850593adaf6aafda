package ringspindle.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import ringspindle.protocol.Message;

/** What was synced comes back, whatever stands behind it. */
class SlotDiskTest {
    @TempDir
    Path folder;

    private static Message n(long n) {
        return new Message.Relearn(n);
    }

    private Path log() throws IOException {
        try (java.util.stream.Stream<Path> s = Files.list(folder)) {
            return s.filter(f -> f.getFileName().toString().startsWith("log-"))
                    .findFirst()
                    .orElseThrow();
        }
    }

    @Test
    void slotsInTurnAndLogComeBack() throws Exception {
        Disk d = Disk.open(folder);
        assertEquals(List.of(), d.load());
        d.append(List.of(n(1), n(2)));
        assertEquals(List.of(n(1), n(2)), Disk.open(folder).load());
        for (long i = 0; i < 5; i++) {
            d.snapshot(List.of(n(10 + i)));
            d.append(List.of(n(20 + i)));
            assertEquals(List.of(n(10 + i), n(20 + i)), Disk.open(folder).load());
        }
    }

    @Test
    void tornTailEndsTheLogAtEveryByte() throws Exception {
        Disk d = Disk.open(folder);
        d.load();
        d.snapshot(List.of(n(1)));
        d.append(List.of(n(2)));
        int before = (int) Files.size(log());
        d.append(List.of(n(3)));
        byte[] after = Files.readAllBytes(log());
        for (int cut = before; cut < after.length; cut++) {
            Files.write(log(), Arrays.copyOf(after, cut));
            Disk again = Disk.open(folder);
            assertEquals(List.of(n(1), n(2)), again.load(), "cut at " + cut);
            // and what is written next stands behind what was whole
            again.append(List.of(n(4)));
            assertEquals(List.of(n(1), n(2), n(4)), Disk.open(folder).load());
        }
        byte[] flipped = after.clone();
        flipped[after.length - 1] ^= 1;
        Files.write(log(), flipped);
        assertEquals(List.of(n(1), n(2)), Disk.open(folder).load());
    }

    @Test
    void halfWrittenSlotLeavesTheOtherInForce() throws Exception {
        Disk d = Disk.open(folder);
        d.load();
        d.snapshot(List.of(n(1)));
        d.append(List.of(n(2)));
        Path scratch = Files.createDirectory(folder.resolve("scratch"));
        Disk e = Disk.open(scratch);
        e.load();
        e.snapshot(List.of(n(5)));
        e.snapshot(List.of(n(6)));
        byte[] slot = Files.readAllBytes(scratch.resolve("slot-0"));
        for (int cut = 0; cut < slot.length; cut++) {
            // the next image would go to the other slot: no part of it may count
            Files.write(folder.resolve("slot-0"), Arrays.copyOf(slot, cut));
            assertEquals(List.of(n(1), n(2)), Disk.open(folder).load(), "cut at " + cut);
        }
    }
}
