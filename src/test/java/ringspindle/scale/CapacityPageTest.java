package ringspindle.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The page's tables are those of the committed measurements; the harness refuses what it cannot do. */
class CapacityPageTest {
    private static final Path CSV = Path.of("docs/capacity/slopes.csv");
    private static final Path PAGE = Path.of("docs/CAPACITY.md");

    @Test
    void pageHoldsWhatTheMeasurementsGive() throws Exception {
        String page = Files.readString(PAGE);
        assertEquals(CapacityPage.read(CSV).written(page), page);
    }

    @Test
    void changedNumberIsSeen() throws Exception {
        String page = Files.readString(PAGE);
        List<String> csv = new ArrayList<>(Files.readAllLines(CSV));
        String[] names = csv.get(0).split(",");
        for (String figure : List.of("dataInBytes", "dataCpuUs", "controlCpuUs", "dataHeapKb")) {
            List<String> other = new ArrayList<>(csv);
            String[] v = other.get(1).split(",");
            int at = List.of(names).indexOf(figure);
            v[at] = Double.toString(Double.parseDouble(v[at]) * 1.5);
            other.set(1, String.join(",", v));
            assertNotEquals(page, new CapacityPage(other).written(page), figure);
        }
        String edited = page.replaceFirst("\\| fits \\|", "| fits well |");
        assertNotEquals(page, edited);
        assertNotEquals(edited, CapacityPage.read(CSV).written(edited), "a number changed on the page alone");
    }

    @Test
    void straightLinesComeBackFromTheFit() {
        List<String> csv = new ArrayList<>(List.of("nodes,engines,routes,zones,changesPer10S,seed,x"));
        for (int nodes : new int[] {40, 80, 160, 320}) {
            csv.add(nodes + "," + Capacity.BASE.engines() + "," + Capacity.BASE.routes() + "," + Capacity.BASE.zones()
                    + "," + Capacity.BASE.changesPer10S() + ",1," + (100 + 3 * nodes));
        }
        CapacityPage.Fit f = new CapacityPage(csv).fit("x", "nodes");
        assertEquals(3, f.slope(), 1e-9);
        assertEquals(340, f.base(), 1e-9);
        assertEquals(0, f.worstError(), 1e-9);
        assertEquals(4, f.points());
    }

    @Test
    void harnessRefusesWhatItCannotDoBeforeItStarts() throws Exception {
        assertEquals(2, Capacity.run(new String[] {"--out", "never.csv", "--nodes", "5"}), "an unknown argument");
        assertEquals(2, Capacity.run(new String[] {"--out", "never.csv", "--only", "80,60"}), "not a size");
        assertEquals(2, Capacity.run(new String[] {"--out", "never.csv", "--only", "0,60,60,6,1"}));
        assertEquals(
                2,
                Capacity.run(
                        new String[] {"--out", "never.csv", "--only", "1700,12000,22000,41,5", "--heap-mb", "8000"}),
                "more than its memory");
        assertEquals(2, Capacity.run(new String[] {}), "no file to write");
        assertFalse(Files.exists(Path.of("never.csv")));
    }

    /** A small fleet on real machines' states: all are known, configured and summed. */
    @Test
    void hollowFleetComesUp() throws Exception {
        HollowFleet.Row r = new HollowFleet(new HollowFleet.Size(24, 12, 5, 6, 1), 3).run();
        assertEquals(6, r.figures().get("voters"));
        assertEquals(24, r.figures().get("ready"));
        assertEquals(1, r.figures().get("configured"));
        assertEquals(1, r.figures().get("changes"));
    }
}
