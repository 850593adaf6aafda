package ringspindle.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.opentest4j.AssertionFailedError;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Relearn;

/**
 * Ends a script of calls before each operation on the folder, restarts from what the rules of {@link SimulatedFolder}
 * leave behind, and does the same to the restarted disk, its recovery included.
 */
class SlotDiskCrashTest {
    /** A call of the script. All records are of one length, so that a leftover would stand right behind a newer record. */
    private record FallbackTarget(boolean image, List<Message> records) {}

    private static final List<List<FallbackTarget>> LIVES = List.of(
            List.of(
                    append(1),
                    append(2, 3),
                    image(4, 5),
                    append(6),
                    append(7, 8),
                    image(9, 10),
                    image(11),
                    append(12, 13)),
            List.of(append(101, 102), image(103, 104), append(105)),
            List.of(append(201)));
    /** Outcomes of one loss of power that are all tried, by life; of more, a sample of this size. */
    private static final int[] OUTCOMES = {256, 24, 8};

    private static final long SEED = 41;

    private final Random luck = new Random(SEED);
    private final Set<String> tried = new HashSet<>();
    private int restarts;

    private static FallbackTarget append(long... ids) {
        return new FallbackTarget(false, records(ids));
    }

    private static FallbackTarget image(long... ids) {
        return new FallbackTarget(true, records(ids));
    }

    private static List<Message> records(long... ids) {
        return Arrays.stream(ids).mapToObj(id -> (Message) new Relearn(id)).toList();
    }

    /** One process: the disk it writes, and what a restart may find by the calls that returned or did not. */
    private static final class Life {
        final SimulatedFolder folder;
        final SlotDisk disk;
        /** What counts if no later call has an effect: more than one after an image that failed. */
        Set<List<Message>> settled;

        Set<List<Message>> allowed;
        boolean lastReturned;

        Life(SimulatedFolder folder, Set<List<Message>> allowed) {
            this.folder = folder;
            this.allowed = allowed;
            disk = new SlotDisk(folder, record -> true);
        }

        /** Runs until done, refused at the load, or cut. */
        Life run(List<FallbackTarget> steps) {
            try {
                load();
                steps.forEach(this::apply);
            } catch (SimulatedFolder.PowerLoss | IOException end) {
                lastReturned = false;
            }
            return this;
        }

        void load() throws IOException {
            List<Message> found = disk.load();
            assertTrue(allowed.contains(found), () -> "found " + found + ", allowed " + allowed);
            assertEquals(
                    1,
                    folder.list().stream()
                            .filter(name -> name.startsWith("log-"))
                            .count(),
                    "logs pile up");
            settled = Set.of(found);
            allowed = settled;
        }

        void apply(FallbackTarget step) {
            Set<List<Message>> before = settled;
            allowed = new LinkedHashSet<>(allowed);
            before.forEach(records -> allowed.addAll(partly(records, step)));
            try {
                if (step.image()) {
                    disk.snapshot(step.records());
                } else {
                    disk.append(step.records());
                }
                settled = new LinkedHashSet<>();
                before.forEach(records -> settled.add(wholly(records, step)));
                allowed = settled;
                lastReturned = true;
            } catch (IOException x) {
                if (step.image()) {
                    settled = new LinkedHashSet<>(before);
                    settled.add(step.records());
                }
                lastReturned = false;
            }
        }

        private static List<Message> wholly(List<Message> before, FallbackTarget step) {
            List<Message> out = new ArrayList<>(step.image() ? List.of() : before);
            out.addAll(step.records());
            return out;
        }

        private static List<List<Message>> partly(List<Message> before, FallbackTarget step) {
            List<Message> whole = wholly(before, step);
            List<List<Message>> out = new ArrayList<>(List.of(before, whole));
            for (int size = before.size(); !step.image() && size < whole.size(); size++) {
                out.add(whole.subList(0, size));
            }
            return out;
        }
    }

    /** Ends this life before each of its operations, and goes on from there; {@code level} lives came before. */
    private void explore(SimulatedFolder start, Set<List<Message>> allowed, int level) {
        boolean cut = true;
        for (int operation = 1; cut; operation++) {
            SimulatedFolder folder = start.copy();
            folder.cutBefore(operation);
            Life life = new Life(folder, allowed).run(LIVES.get(level));
            restart(life, level);
            cut = folder.cut();
        }
    }

    private void restart(Life life, int level) {
        for (SimulatedFolder left : life.folder.afterPowerLoss(OUTCOMES[level], luck)) {
            if (tried.add(level + left.contents() + life.allowed)) {
                next(left, life.allowed, level + 1);
            }
        }
        next(life.folder.copy(), life.allowed, level + 1);
    }

    private void next(SimulatedFolder left, Set<List<Message>> allowed, int level) {
        restarts++;
        if (level < LIVES.size()) {
            explore(left, allowed, level);
        } else {
            Life last = new Life(left, allowed).run(List.of(append(301)));
            assertTrue(last.lastReturned);
        }
    }

    @Test
    void noLossOfPowerLosesOrMixesRecords() {
        explore(new SimulatedFolder(), Set.of(List.of()), 0);
        assertTrue(restarts > 100_000, "restarts tried: " + restarts);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5})
    void refusedOperationsLoseNothingAndTheDiskGoesOn(int refused) {
        List<FallbackTarget> steps = LIVES.get(0);
        int operations = new Life(new SimulatedFolder(), Set.of(List.of()))
                .run(steps)
                .folder
                .operations();
        for (int first = 1; first <= operations; first++) {
            boolean cut = true;
            for (int end = first + 1; cut; end++) {
                SimulatedFolder folder = new SimulatedFolder();
                folder.refuse(first, first + refused - 1);
                folder.cutBefore(end);
                Life life = new Life(folder, Set.of(List.of())).run(steps);
                restart(life, LIVES.size() - 1);
                cut = folder.cut();
                boolean loaded = life.settled != null;
                if (loaded && !cut) {
                    folder.refuse(0, 0);
                    folder.cutBefore(Integer.MAX_VALUE);
                    life.apply(append(401));
                    assertTrue(life.lastReturned, "refuses for ever after operation " + first);
                }
            }
        }
    }

    @Test
    void fullDiskLosesNothingAndGoesOnWhenThereIsRoom() {
        long whole = new Life(new SimulatedFolder(), Set.of(List.of()))
                .run(LIVES.get(0))
                .folder
                .bytes();
        for (long capacity = 0; capacity < 3 * whole; capacity++) {
            SimulatedFolder folder = new SimulatedFolder();
            folder.capacity(capacity);
            Life life = new Life(folder, Set.of(List.of())).run(LIVES.get(0));
            restart(life, LIVES.size() - 1);
            folder.capacity(Long.MAX_VALUE);
            life.apply(append(401));
            assertTrue(life.lastReturned, "refuses for ever after a capacity of " + capacity);
            restart(life, LIVES.size() - 1);
        }
    }

    private void assertFound(BiPredicate<SimulatedFolder, String> fault) {
        assertThrows(AssertionFailedError.class, () -> explore(new SimulatedFolder(fault), Set.of(List.of()), 0));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "sync slot-.",
                "sync log-.*",
                "sync folder",
                "truncate slot-.",
                "truncate log-.*",
                "remove log-.*"
            })
    void checkFindsSkippedOperations(String skipped) {
        assertFound((folder, operation) -> operation.matches(skipped));
    }

    @Test
    void checkFindsAnOldLogRemovedBeforeTheSlotIsSynced() {
        assertFound((folder, operation) -> {
            if (operation.startsWith("write slot-")) {
                folder.list().stream().filter(name -> name.startsWith("log-")).forEach(folder::unlink);
            }
            return false;
        });
    }
}
