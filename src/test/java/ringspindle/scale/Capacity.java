package ringspindle.scale;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import ringspindle.scale.HollowFleet.Row;
import ringspindle.scale.HollowFleet.Size;

/**
 * Measures slopes on hollow fleets and writes them as CSV. No part of the test run:
 * {@code mvn -q test-compile exec:java -Dexec.mainClass=ringspindle.scale.Capacity -Dexec.classpathScope=test
 * -Dexec.args="--out docs/capacity/slopes.csv"}.
 */
public final class Capacity {
    /** The size around which one number at a time is varied. */
    static final Size BASE = new Size(80, 60, 60, 6, 1);

    @Parameter(names = "--out", description = "the CSV file to write", required = true)
    private String out;

    @Parameter(names = "--seed", description = "of all chance")
    private long seed = 1;

    @Parameter(names = "--only", description = "just this size: nodes,engines,routes,zones,changesPer10S")
    private List<Integer> only = List.of();

    @Parameter(names = "--heap-mb", description = "what a fleet may come to, at most half of the machine")
    private long heapMb = Runtime.getRuntime().maxMemory() / 2 / 1048576;

    private Capacity() {}

    /** Exit code 2 for what cannot be understood or would not fit. */
    public static void main(String[] args) throws Exception {
        int code = run(args);
        if (code != 0) {
            System.exit(code);
        }
    }

    static int run(String[] args) throws Exception {
        Capacity c = new Capacity();
        JCommander parser =
                JCommander.newBuilder().addObject(c).programName("capacity").build();
        try {
            parser.parse(args);
            if (!c.only.isEmpty() && c.only.size() != 5) {
                throw new ParameterException("--only takes five numbers");
            }
        } catch (ParameterException x) {
            System.err.println(x.getMessage());
            parser.usage();
            return 2;
        }
        List<Size> sizes = c.only.isEmpty()
                ? sizes()
                : List.of(new Size(c.only.get(0), c.only.get(1), c.only.get(2), c.only.get(3), c.only.get(4)));
        for (Size s : sizes) {
            if (s.nodes() < 1
                    || s.engines() < 1
                    || s.zones() < 3
                    || s.routes() < 0
                    || s.changesPer10S() < 0
                    || s.zones() > 250) {
                System.err.println("not a size: " + s);
                parser.usage();
                return 2;
            }
            if (s.bytes() > c.heapMb * 1048576) {
                System.err.println(
                        s + " may come to " + s.bytes() / 1048576 + " MB, more than the " + c.heapMb + " MB allowed");
                parser.usage();
                return 2;
            }
        }
        new HollowFleet(BASE, c.seed).run();
        List<String> lines = new ArrayList<>();
        for (Size s : sizes) {
            Row r = new HollowFleet(s, c.seed).run();
            if (lines.isEmpty()) {
                lines.add("nodes,engines,routes,zones,changesPer10S,seed,"
                        + String.join(",", r.figures().keySet()));
            }
            lines.add(Stream.of(s.nodes(), s.engines(), s.routes(), s.zones(), s.changesPer10S())
                            .map(String::valueOf)
                            .collect(Collectors.joining(","))
                    + "," + c.seed + ","
                    + r.figures().values().stream()
                            .map(v -> String.format(Locale.ROOT, "%.2f", v))
                            .collect(Collectors.joining(",")));
            System.out.println(lines.get(lines.size() - 1));
        }
        Files.write(Path.of(c.out), lines);
        return 0;
    }

    /** One number at a time over five sizes. */
    static List<Size> sizes() {
        List<Size> out = new ArrayList<>();
        for (int n : new int[] {40, 80, 160, 320, 640}) {
            out.add(new Size(n, BASE.engines(), BASE.routes(), BASE.zones(), BASE.changesPer10S()));
        }
        for (int e : new int[] {30, 120, 240, 480, 960}) {
            out.add(new Size(BASE.nodes(), e, BASE.routes(), BASE.zones(), BASE.changesPer10S()));
        }
        for (int r : new int[] {15, 240, 960, 3840}) {
            out.add(new Size(BASE.nodes(), BASE.engines(), r, BASE.zones(), BASE.changesPer10S()));
        }
        for (int z : new int[] {3, 12, 24, 42}) {
            out.add(new Size(BASE.nodes(), BASE.engines(), BASE.routes(), z, BASE.changesPer10S()));
        }
        for (int c : new int[] {0, 2, 4, 8}) {
            out.add(new Size(BASE.nodes(), BASE.engines(), BASE.routes(), BASE.zones(), c));
        }
        return out;
    }
}
