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

/** Cached engines are loaded after a restart; a corrupt cache file is treated as missing. */
class EngineCacheFileTest {
    @TempDir
    Path folder;

    private static final byte[] ENCODED_ENGINE =
            Codec.encode(new Engine(8, 0, false, 0, -1, "chat", "10.0.0.1:80", "a", "r1"));
    private static final List<Fact> ENGINES =
            List.of(new Fact(4, "i-1", 0, 7, ENCODED_ENGINE), new Fact(4, "i-2", 0, 9, ENCODED_ENGINE));

    private EngineCacheFile newCacheFile() {
        return new EngineCacheFile(folder.resolve("engines"), Runnable::run);
    }

    private static List<String> keys(List<Fact> items) {
        return items.stream().map(Fact::key).toList();
    }

    @Test
    void storedEnginesAreLoaded() {
        assertEquals(List.of(), newCacheFile().load());
        newCacheFile().store(ENGINES);
        assertEquals(List.of("i-1", "i-2"), keys(newCacheFile().load()));
        EngineCacheFile cacheFile = newCacheFile();
        cacheFile.store(ENGINES);
        cacheFile.store(ENGINES.subList(0, 1));
        assertEquals(List.of("i-1"), keys(newCacheFile().load()));
    }

    @Test
    void sameEnginesAreNotWrittenAgain() throws Exception {
        EngineCacheFile cacheFile = newCacheFile();
        cacheFile.store(ENGINES);
        Files.delete(folder.resolve("engines"));
        cacheFile.store(ENGINES);
        assertFalse(Files.exists(folder.resolve("engines")));
    }

    @Test
    void corruptFilesLoadAsEmpty() throws Exception {
        newCacheFile().store(ENGINES);
        byte[] content = Files.readAllBytes(folder.resolve("engines"));
        for (int length = 0; length < content.length; length++) {
            Files.write(folder.resolve("engines"), Arrays.copyOf(content, length));
            assertEquals(List.of(), newCacheFile().load(), "cut at " + length);
        }
        content[content.length - 1] ^= 1;
        Files.write(folder.resolve("engines"), content);
        assertEquals(List.of(), newCacheFile().load());
    }

    @Test
    void filesOfAnotherVersionLoadAsEmpty() {
        byte[] unknownVersion = ENCODED_ENGINE.clone();
        unknownVersion[2] = 99;
        for (byte[] value : List.of(unknownVersion, new byte[] {1}, Codec.encode(new Relearn(1)))) {
            newCacheFile().store(List.of(ENGINES.get(0), new Fact(4, "i-2", 0, 9, value)));
            assertEquals(List.of(), newCacheFile().load());
        }
    }
}
