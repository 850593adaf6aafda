package ringspindle.cp;

import static org.junit.jupiter.api.Assertions.*;

import java.nio.file.*;
import java.util.*;
import org.junit.jupiter.api.*;
import org.junit.jupiter.api.io.*;
import ringspindle.wire.Msg.*;

/** The hint of engines comes back after a restart, and a broken one counts as none. */
class EngineFileTest {
    @TempDir
    Path folder;

    private static final List<Item> TWO = List.of(new Item(4, "i-1", 0, 7, new byte[] {1}), new Item(4, "i-2", 0, 9, new byte[] {2}));

    private EngineFile file() {
        return new EngineFile(folder.resolve("engines"), Runnable::run);
    }

    private static List<String> keys(List<Item> items) {
        return items.stream().map(Item::key).toList();
    }

    @Test
    void enginesComeBack() {
        assertEquals(List.of(), file().load());
        file().keep(TWO);
        assertEquals(List.of("i-1", "i-2"), keys(file().load()));
        EngineFile f = file();
        f.keep(TWO);
        f.keep(TWO.subList(0, 1));
        assertEquals(List.of("i-1"), keys(file().load()));
    }

    @Test
    void sameEnginesAreNotWrittenAgain() throws Exception {
        EngineFile f = file();
        f.keep(TWO);
        Files.delete(folder.resolve("engines"));
        f.keep(TWO);
        assertFalse(Files.exists(folder.resolve("engines")));
    }

    @Test
    void brokenFilesCountAsNone() throws Exception {
        file().keep(TWO);
        byte[] whole = Files.readAllBytes(folder.resolve("engines"));
        for (int cut = 0; cut < whole.length; cut++) {
            Files.write(folder.resolve("engines"), Arrays.copyOf(whole, cut));
            assertEquals(List.of(), file().load(), "cut at " + cut);
        }
        whole[whole.length - 1] ^= 1;
        Files.write(folder.resolve("engines"), whole);
        assertEquals(List.of(), file().load());
    }
}
