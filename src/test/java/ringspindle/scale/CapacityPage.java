package ringspindle.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.UnaryOperator;

/** The tables of docs/CAPACITY.md, computed from the committed measurements and nothing else. */
final class CapacityPage {
    /** The size to design for. */
    static final int NODES = 1700;

    static final int ENGINES = 12_000;
    static final int ROUTES = 22_000;
    static final int CONTROLS = 41;
    static final int REGIONS = 24;
    static final double CHANGES_PER_10S = 5.4;

    private static final String[] DRIVERS = {"nodes", "engines", "routes", "zones", "changesPer10S"};

    /** One figure's growth in one number, the others as in the base. */
    record Fit(double base, double slope, double worstError, double exponent, int points, double from, double to) {
        boolean straight() {
            return worstError < 0.15;
        }
    }

    private final List<Map<String, Double>> rows = new ArrayList<>();

    CapacityPage(List<String> csv) {
        String[] names = csv.get(0).split(",");
        for (String line : csv.subList(1, csv.size())) {
            String[] v = line.split(",");
            Map<String, Double> row = new LinkedHashMap<>();
            for (int i = 0; i < names.length; i++) {
                row.put(names[i], Double.parseDouble(v[i]));
            }
            rows.add(row);
        }
    }

    static CapacityPage read(Path csv) throws IOException {
        return new CapacityPage(Files.readAllLines(csv));
    }

    private static double base(String driver) {
        return switch (driver) {
            case "nodes" -> Capacity.BASE.nodes();
            case "engines" -> Capacity.BASE.engines();
            case "routes" -> Capacity.BASE.routes();
            case "zones" -> Capacity.BASE.zones();
            default -> Capacity.BASE.changesPer10S();
        };
    }

    private List<Map<String, Double>> varied(String driver) {
        List<Map<String, Double>> out = new ArrayList<>();
        for (Map<String, Double> r : rows) {
            boolean others = true;
            for (String d : DRIVERS) {
                others &= d.equals(driver) || r.get(d) == base(d);
            }
            if (others) {
                out.add(r);
            }
        }
        out.sort(Comparator.comparingDouble(r -> r.get(driver)));
        return out;
    }

    private static double value(Map<String, Double> r, String figure) {
        if (figure.endsWith("Out")) {
            String who = figure.substring(0, figure.length() - 3);
            return r.get(who + "ZoneBytes") + r.get(who + "ZonesBytes") + r.get(who + "RegionsBytes");
        }
        return r.get(figure);
    }

    /** Least squares with equal weight to relative errors, so that small sizes count as much as large ones. */
    Fit fit(String figure, String driver) {
        List<Map<String, Double>> of = varied(driver);
        double w = 0;
        double wx = 0;
        double wy = 0;
        double wxx = 0;
        double wxy = 0;
        for (Map<String, Double> r : of) {
            double x = r.get(driver);
            double y = value(r, figure);
            double k = 1 / Math.max(1e-9, y * y);
            w += k;
            wx += k * x;
            wy += k * y;
            wxx += k * x * x;
            wxy += k * x * y;
        }
        double slope = (w * wxy - wx * wy) / (w * wxx - wx * wx);
        double cut = (wy - slope * wx) / w;
        double worst = 0;
        for (Map<String, Double> r : of) {
            double y = value(r, figure);
            worst = Math.max(worst, Math.abs(cut + slope * r.get(driver) - y) / Math.max(1e-9, y));
        }
        Map<String, Double> last = of.get(of.size() - 1);
        Map<String, Double> before = of.get(of.size() - 2);
        double exponent =
                Math.log(value(last, figure) / value(before, figure)) / Math.log(last.get(driver) / before.get(driver));
        return new Fit(
                cut + slope * base(driver),
                slope,
                worst,
                exponent,
                of.size(),
                of.get(0).get(driver),
                last.get(driver));
    }

    private static String n(double v) {
        if (Math.abs(v) >= 100) {
            return String.format(Locale.ROOT, "%,.0f", v);
        }
        return String.format(Locale.ROOT, Math.abs(v) >= 1 ? "%.1f" : "%.3f", v);
    }

    private static final String[][] FIGURES = {
        {"dataInBytes", "data node, bytes in a second"},
        {"dataOut", "data node, bytes out a second"},
        {"dataInMessages", "data node, messages in a second"},
        {"dataOutMessages", "data node, messages out a second"},
        {"dataCpuUs", "data node, µs of processor a second"},
        {"dataHeapKb", "data node, KB of heap"},
        {"controlInBytes", "control node, bytes in a second"},
        {"controlOut", "control node, bytes out a second"},
        {"controlInMessages", "control node, messages in a second"},
        {"controlOutMessages", "control node, messages out a second"},
        {"controlCpuUs", "control node, µs of processor a second"},
        {"busiestCpuUs", "busiest control node, µs of processor a second"}
    };

    /** Slopes, with how far the worst point is from the line. */
    List<String> slopes() {
        List<String> out = new ArrayList<>();
        out.add(
                "| figure | at the base | a node more | an engine more | a route more | a control node more | a change in 10 s more |");
        out.add("|---|---|---|---|---|---|---|");
        for (String[] f : FIGURES) {
            StringBuilder b =
                    new StringBuilder("| " + f[1] + " | " + n(fit(f[0], "nodes").base()));
            for (String d : DRIVERS) {
                Fit x = fit(f[0], d);
                b.append(" | ")
                        .append(n(x.slope()))
                        .append(" (")
                        .append(Math.round(100 * x.worstError()))
                        .append("%")
                        .append(x.straight() ? "" : ", power " + String.format(Locale.ROOT, "%.2f", x.exponent()))
                        .append(")");
            }
            out.add(b + " |");
        }
        return out;
    }

    private double more(String figure, String driver, double to) {
        return fit(figure, driver).slope() * (to - base(driver));
    }

    /** What the slopes come to at the size to design for, against the limit that is to be kept. */
    List<String> target() {
        List<String> out = new ArrayList<>();
        out.add(
                "| role and figure | from the base | nodes | engines | configuration | control nodes | at the target | limit | verdict |");
        out.add("|---|---|---|---|---|---|---|---|---|");
        double regionEngines = ENGINES / (double) REGIONS * (Capacity.BASE.zones() / 2);
        double nodesEach = NODES / (double) CONTROLS * Capacity.BASE.zones();
        line(out, "data node, bytes in a second", "dataInBytes", NODES, regionEngines, 1, 3000);
        line(out, "data node, bytes out a second", "dataOut", NODES, regionEngines, 1, 3000);
        line(out, "data node, µs of processor a second", "dataCpuUs", NODES, ENGINES, 1, 22_000);
        line(out, "data node, KB of heap", "dataHeapKb", NODES, ENGINES, 0, 256 * 1024);
        line(out, "control node, bytes in a second", "controlInBytes", nodesEach, regionEngines, 1, 0);
        line(out, "control node, µs of processor a second", "controlCpuUs", nodesEach, ENGINES, 1, 1_000_000);
        line(out, "busiest control node, µs of processor a second", "busiestCpuUs", nodesEach, ENGINES, 1, 1_000_000);
        return out;
    }

    private void line(
            List<String> out, String name, String figure, double nodes, double engines, int perChange, double limit) {
        double base = fit(figure, "nodes").base();
        double byNodes = more(figure, "nodes", nodes);
        double byEngines = more(figure, "engines", engines);
        // a change carries the whole configuration: routes times changes; memory holds it once
        double byRoutes =
                fit(figure, "routes").slope() * (ROUTES * (perChange == 1 ? CHANGES_PER_10S : 1) - base("routes"));
        double byZones = more(figure, "zones", CONTROLS);
        double sum = base + byNodes + byEngines + byRoutes + byZones;
        String verdict = limit == 0
                ? "no limit stated"
                : sum <= limit ? "fits" : "does not fit yet, " + n(sum / limit) + " times over";
        out.add("| " + name + " | " + n(base) + " | " + n(byNodes) + " | " + n(byEngines) + " | " + n(byRoutes) + " | "
                + n(byZones) + " | " + n(sum) + " | " + (limit == 0 ? "-" : n(limit)) + " | " + verdict + " |");
    }

    /** By how much each number is extrapolated. */
    List<String> factors() {
        List<String> out = new ArrayList<>();
        out.add("| number | measured from | to | sizes | at the target | factor |");
        out.add("|---|---|---|---|---|---|");
        factor(out, "data nodes", "nodes", NODES);
        factor(out, "engines", "engines", ENGINES);
        factor(out, "routes", "routes", ROUTES);
        factor(out, "control nodes", "zones", CONTROLS);
        factor(out, "changes in 10 s", "changesPer10S", CHANGES_PER_10S);
        return out;
    }

    private void factor(List<String> out, String name, String driver, double target) {
        Fit f = fit("dataInBytes", driver);
        out.add("| " + name + " | " + n(f.from()) + " | " + n(f.to()) + " | " + f.points() + " | " + n(target) + " | "
                + n(Math.max(1, target / f.to())) + " |");
    }

    /** Every table under its mark. */
    Map<String, List<String>> tables() {
        Map<String, List<String>> out = new LinkedHashMap<>();
        out.put("slopes", slopes());
        out.put("target", target());
        out.put("factors", factors());
        return out;
    }

    /** The page with its tables computed anew. */
    String written(String page) {
        String out = page;
        for (Map.Entry<String, List<String>> e : tables().entrySet()) {
            String from = "<!-- computed: " + e.getKey() + " -->\n";
            int at = out.indexOf(from) + from.length();
            int end = out.indexOf("<!-- end -->", at);
            if (at < from.length() || end < 0) {
                throw new IllegalStateException("no place for the table " + e.getKey());
            }
            out = out.substring(0, at) + String.join("\n", e.getValue()) + "\n" + out.substring(end);
        }
        return out;
    }

    /** Writes the tables into the page: {@code CapacityPage docs/capacity/slopes.csv docs/CAPACITY.md}. */
    public static void main(String[] args) throws IOException {
        Path page = Path.of(args[1]);
        UnaryOperator<String> written = read(Path.of(args[0]))::written;
        Files.writeString(page, written.apply(Files.readString(page)));
    }
}
