package ringspindle.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Files of simulated machines. */
final class SoakFiles {
    private SoakFiles() {}

    /** Removes all that is below a folder. */
    static void empty(Path folder) throws IOException {
        List<Path> below;
        try (Stream<Path> files = Files.walk(folder)) {
            below = files.filter(file -> !file.equals(folder))
                    .sorted(Comparator.reverseOrder())
                    .toList();
        }
        for (Path file : below) {
            Files.deleteIfExists(file);
        }
    }
}
