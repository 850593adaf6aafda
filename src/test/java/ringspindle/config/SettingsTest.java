package ringspindle.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import org.junit.jupiter.api.Test;

/** What a changed settings file changes in a running node, what it does not, and that a bad one changes nothing. */
class SettingsTest {
    private static Validated<NodeConfig> file(String... changes) {
        Properties p = new Properties();
        p.putAll(Map.of(
                "node.name",
                "n",
                "node.ip",
                "10.0.0.1",
                "node.zone",
                "a1",
                "node.region",
                "a",
                "listen.inner",
                "7000",
                "seeds",
                "10.0.0.9:80",
                "zone.a1",
                "a",
                "bound.retryRatio",
                "0.2",
                "bound.retrySlack",
                "50"));
        for (int i = 0; i < changes.length; i += 2) {
            p.setProperty(changes[i], changes[i + 1]);
        }
        return NodeConfig.check(p);
    }

    private static NodeConfig good(Validated<NodeConfig> c) {
        return ((Validated.Valid<NodeConfig>) c).value();
    }

    @Test
    void sharesOfBatchItemsAreCheckedAndReloadable() {
        assertEquals(BatchSettings.DEFAULT, good(file()).batch());
        Settings settings = new Settings(good(file()));
        settings.reload(file("batch.engineShare", "0.2", "batch.reservedShare", "0.5", "batch.nodeRunsMax", "7"));
        assertEquals(
                new BatchSettings(BatchSettings.Policy.DEADLINE, 0.2, 0.1, 0.5, 7),
                settings.now().batch());
        for (String bad : List.of("0", "1.5", "-1", "much")) {
            Settings.Reload reload = settings.reload(file("batch.engineShare", bad));
            assertEquals(1, reload.errors().size(), bad);
        }
        assertEquals(1, settings.reload(file("batch.nodeRunsMax", "0")).errors().size());
        assertEquals(1, settings.reload(file("batch.policy", "none")).errors().size());
        assertEquals(
                1, settings.reload(file("batch.leastShare", "0.6")).errors().size());
        assertEquals(0.2, settings.now().batch().engineShare(), "a bad file changes nothing");
    }

    @Test
    void boundsAndSeedsAreTakenAddressesWaitForARestart() {
        Settings s = new Settings(good(file()));
        List<NodeConfig> told = new ArrayList<>();
        s.listen(told::add);
        Settings.Reload r = s.reload(
                file("bound.retrySlack", "70", "seeds", "10.0.0.8:80", "node.ip", "10.0.0.2", "limit.memoryMb", "99"));
        assertEquals(List.of("seeds", "bound.retrySlack"), r.taken());
        assertEquals(List.of("node.ip", "limit.memoryMb"), r.restart());
        assertEquals(1, told.size());
        assertEquals(70, told.get(0).retrySlack());
        assertEquals("10.0.0.1", s.now().ip(), "an address changes only with a restart");
        assertEquals("10.0.0.8:80", s.now().seeds().get(0).toString());
    }

    @Test
    void sameFileTellsNobody() {
        Settings s = new Settings(good(file()));
        s.listen(c -> fail("told of nothing"));
        assertEquals(new Settings.Reload(List.of(), List.of(), List.of()), s.reload(file()));
    }

    @Test
    void badFileChangesNothingAndNamesItsProblems() {
        Settings s = new Settings(good(file()));
        s.listen(c -> fail("told of a bad file"));
        Settings.Reload r = s.reload(file("bound.retrySlack", "many", "node.ip", "x"));
        assertEquals(2, r.errors().size(), r.errors().toString());
        assertEquals(50, s.now().retrySlack());
    }
}
