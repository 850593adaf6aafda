package ringspindle.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Relearn;

/** The hint of engines comes back after a restart, and a broken one counts as none. */
class EngineCacheFileTest {
    @TempDir
    Path folder;

    private static final byte[] ENGINE = Codec.encode(new Engine(8, 0, false, 0, -1, "chat", "10.0.0.1:80", "a", "r1"));
    private static final List<Fact> TWO = List.of(new Fact(4, "i-1", 0, 7, ENGINE), new Fact(4, "i-2", 0, 9, ENGINE));

    private EngineCacheFile file() {
        return new EngineCacheFile(folder.resolve("engines"), Runnable::run);
    }

    private static List<String> keys(List<Fact> items) {
        return items.stream().map(Fact::key).toList();
    }

    @Test
    void enginesComeBack() {
        assertEquals(List.of(), file().load());
        file().store(TWO);
        assertEquals(List.of("i-1", "i-2"), keys(file().load()));
        EngineCacheFile f = file();
        f.store(TWO);
        f.store(TWO.subList(0, 1));
        assertEquals(List.of("i-1"), keys(file().load()));
    }

    @Test
    void sameEnginesAreNotWrittenAgain() throws Exception {
        EngineCacheFile f = file();
        f.store(TWO);
        Files.delete(folder.resolve("engines"));
        f.store(TWO);
        assertFalse(Files.exists(folder.resolve("engines")));
    }

    @Test
    void brokenFilesCountAsNone() throws Exception {
        file().store(TWO);
        byte[] whole = Files.readAllBytes(folder.resolve("engines"));
        for (int cut = 0; cut < whole.length; cut++) {
            Files.write(folder.resolve("engines"), Arrays.copyOf(whole, cut));
            assertEquals(List.of(), file().load(), "cut at " + cut);
        }
        whole[whole.length - 1] ^= 1;
        Files.write(folder.resolve("engines"), whole);
        assertEquals(List.of(), file().load());
    }

    @Test
    void wholeFilesOfAnotherVersionCountAsNone() {
        byte[] foreign = ENGINE.clone();
        foreign[2] = 99;
        for (byte[] value : List.of(foreign, new byte[] {1}, Codec.encode(new Relearn(1)))) {
            file().store(List.of(TWO.get(0), new Fact(4, "i-2", 0, 9, value)));
            assertEquals(List.of(), file().load());
        }
    }
}
