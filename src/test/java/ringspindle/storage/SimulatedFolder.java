package ringspindle.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * A folder in memory that models durability. After a loss of power a file holds what its last sync covered, and of each
 * later write all, nothing, the first or the second half; a later truncation took place or not; and each name that was
 * created or removed since the last sync of the folder stands for any of the files it stood for since, by itself.
 */
class SimulatedFolder implements StorageFolder {
    private static final int WRITE_FATES = 4;
    private static final int TRUNCATE_FATES = 2;

    /** The process ends here; an error, so that nothing under test handles it. */
    static final class PowerLoss extends Error {}

    /** A write of bytes, or a truncation if there are none. */
    private record Change(int offset, byte[] bytes) {
        int fates() {
            return bytes == null ? TRUNCATE_FATES : WRITE_FATES;
        }

        /** Fate 0 is gone, 1 took place, 2 and 3 are torn. */
        byte[] apply(byte[] content, int fate) {
            if (fate == 0) {
                return content;
            }
            if (bytes == null) {
                return Arrays.copyOf(content, Math.min(offset, content.length));
            }
            int from = fate == 3 ? bytes.length / 2 : 0;
            int to = fate == 2 ? bytes.length / 2 : bytes.length;
            byte[] out = Arrays.copyOf(content, Math.max(content.length, offset + to));
            System.arraycopy(bytes, from, out, offset + from, to - from);
            return out;
        }
    }

    private static final class Inode {
        byte[] durable = {};
        byte[] current = {};
        final List<Change> unsynced = new ArrayList<>();
    }

    /** For each name the files it stood for since the folder's last sync, oldest first; null stands for none. */
    private final Map<String, List<Inode>> names = new TreeMap<>();

    private final BiPredicate<SimulatedFolder, String> skipped;
    private int operations;
    private int cutBefore = Integer.MAX_VALUE;
    private int refuseFrom = Integer.MAX_VALUE;
    private int refuseTo;
    private long capacity = Long.MAX_VALUE;
    private boolean cut;

    SimulatedFolder() {
        this((folder, operation) -> false);
    }

    /** Asks before each operation, such as {@code sync slot-1}, whether to skip it: a planted fault. */
    SimulatedFolder(BiPredicate<SimulatedFolder, String> skipped) {
        this.skipped = skipped;
    }

    void cutBefore(int operation) {
        cutBefore = operation;
    }

    /** Refuses these operations; a refused write leaves its first half. */
    void refuse(int from, int to) {
        refuseFrom = from;
        refuseTo = to;
    }

    void capacity(long bytes) {
        capacity = bytes;
    }

    boolean cut() {
        return cut;
    }

    int operations() {
        return operations;
    }

    /** Bytes of all files as a running process sees them. */
    long bytes() {
        return list().stream().mapToLong(name -> now(name).current.length).sum();
    }

    /** False if the operation is to be skipped. */
    private boolean begin(String operation) throws IOException {
        operations++;
        if (operations >= cutBefore) {
            cut = true;
            throw new PowerLoss();
        }
        if (operations >= refuseFrom && operations <= refuseTo) {
            throw new IOException("refused: " + operation);
        }
        return !skipped.test(this, operation);
    }

    private Inode now(String name) {
        List<Inode> files = names.getOrDefault(name, Collections.singletonList(null));
        return files.get(files.size() - 1);
    }

    private void point(String name, Inode file) {
        names.computeIfAbsent(name, n -> new ArrayList<>(Collections.singletonList(null)))
                .add(file);
    }

    @Override
    public void create() {}

    @Override
    public List<String> list() {
        return names.keySet().stream().filter(name -> now(name) != null).toList();
    }

    @Override
    public Optional<byte[]> read(String name) {
        return Optional.ofNullable(now(name)).map(file -> file.current.clone());
    }

    @Override
    public StorageFile open(String name) throws IOException {
        if (now(name) == null) {
            begin("create " + name);
            point(name, new Inode());
        }
        return new OpenFile(name, now(name));
    }

    @Override
    public void remove(String name) throws IOException {
        if (begin("remove " + name)) {
            unlink(name);
        }
    }

    /** Removes a name without counting an operation. */
    void unlink(String name) {
        if (now(name) != null) {
            point(name, null);
        }
    }

    @Override
    public void sync() throws IOException {
        if (begin("sync folder")) {
            names.values().forEach(files -> files.subList(0, files.size() - 1).clear());
            names.values().removeIf(files -> files.get(0) == null);
        }
    }

    private final class OpenFile implements StorageFile {
        private final String name;
        private final Inode file;
        private boolean closed;

        OpenFile(String name, Inode file) {
            this.name = name;
            this.file = file;
        }

        private void change(Change change) {
            file.current = change.apply(file.current, 1);
            file.unsynced.add(change);
        }

        private boolean beginOpen(String operation) throws IOException {
            if (closed) {
                throw new IOException("closed: " + name);
            }
            return begin(operation + " " + name);
        }

        @Override
        public void write(long offset, ByteBuffer bytes) throws IOException {
            byte[] all = new byte[bytes.remaining()];
            bytes.get(all);
            boolean done;
            try {
                done = beginOpen("write");
            } catch (IOException x) {
                change(new Change((int) offset, Arrays.copyOf(all, all.length / 2)));
                throw x;
            }
            long room = capacity - bytes() + Math.max(0, file.current.length - offset);
            if (room < all.length) {
                change(new Change((int) offset, Arrays.copyOf(all, (int) Math.max(0, room))));
                throw new IOException("No space left on device");
            }
            if (done) {
                change(new Change((int) offset, all));
            }
        }

        @Override
        public void truncate(long size) throws IOException {
            if (beginOpen("truncate")) {
                change(new Change((int) size, null));
            }
        }

        @Override
        public void sync() throws IOException {
            if (beginOpen("sync")) {
                file.durable = file.current;
                file.unsynced.clear();
            }
        }

        @Override
        public void close() {
            closed = true;
        }
    }

    /** The same folder, files and all that is not yet synced: what another process finds when only this one dies. */
    SimulatedFolder copy() {
        SimulatedFolder out = new SimulatedFolder(skipped);
        Map<Inode, Inode> copies = new IdentityHashMap<>();
        names.forEach((name, files) -> {
            List<Inode> same = new ArrayList<>();
            files.forEach(file -> same.add(file == null ? null : copies.computeIfAbsent(file, SimulatedFolder::copy)));
            out.names.put(name, same);
        });
        return out;
    }

    private static Inode copy(Inode file) {
        Inode out = new Inode();
        out.durable = file.durable;
        out.current = file.current;
        out.unsynced.addAll(file.unsynced);
        return out;
    }

    /** What a loss of power may leave: each outcome if there are at most this many, else the extremes and a sample. */
    List<SimulatedFolder> afterPowerLoss(int most, Random luck) {
        int[] fates = fates();
        long all = 1;
        for (int fate : fates) {
            all = Math.min(all * fate, Integer.MAX_VALUE);
        }
        List<SimulatedFolder> out = new ArrayList<>();
        for (int i = 0; i < Math.min(all, most); i++) {
            int[] chosen = new int[fates.length];
            int rest = i;
            for (int f = 0; f < fates.length; f++) {
                chosen[f] = all <= most ? rest % fates[f] : i == 0 ? 0 : luck.nextInt(fates[f]);
                rest /= fates[f];
            }
            out.add(left(chosen));
        }
        return out;
    }

    private int[] fates() {
        List<Integer> out = new ArrayList<>();
        names.values().forEach(files -> {
            out.add(files.size());
            files.stream()
                    .filter(file -> file != null)
                    .flatMap(file -> file.unsynced.stream())
                    .forEach(c -> out.add(c.fates()));
        });
        return out.stream().mapToInt(Integer::intValue).toArray();
    }

    private SimulatedFolder left(int[] chosen) {
        SimulatedFolder out = new SimulatedFolder(skipped);
        int next = 0;
        for (Map.Entry<String, List<Inode>> entry : names.entrySet()) {
            int which = chosen[next++];
            for (int i = 0; i < entry.getValue().size(); i++) {
                Inode file = entry.getValue().get(i);
                if (file == null) {
                    continue;
                }
                Inode survivor = new Inode();
                survivor.durable = file.durable;
                for (Change change : file.unsynced) {
                    survivor.durable = change.apply(survivor.durable, chosen[next++]);
                }
                survivor.current = survivor.durable;
                if (i == which) {
                    out.names.put(entry.getKey(), new ArrayList<>(List.of(survivor)));
                }
            }
        }
        return out;
    }

    /** Equal for folders that look the same to a process. */
    String contents() {
        StringBuilder out = new StringBuilder();
        list().forEach(name -> out.append(name)
                .append('=')
                .append(new String(now(name).current, StandardCharsets.ISO_8859_1))
                .append('\n'));
        return out.toString();
    }

    /** Puts a file there, durable; null removes it. */
    void put(String name, byte[] content) {
        names.remove(name);
        if (content != null) {
            Inode file = new Inode();
            file.durable = content;
            file.current = content;
            names.put(name, new ArrayList<>(List.of(file)));
        }
    }
}
