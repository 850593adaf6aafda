package ringspindle;

import static io.cucumber.junit.platform.engine.Constants.*;
import static org.junit.jupiter.api.Assertions.*;
import static org.junit.platform.engine.discovery.DiscoverySelectors.*;
import static org.junit.platform.launcher.EngineFilter.*;

import java.io.*;
import org.junit.jupiter.api.*;
import org.junit.platform.launcher.core.*;
import org.junit.platform.launcher.listeners.*;

/**
 * Runs the feature files on the JUnit platform and counts what ran: a suite that the build's runner reports as no test
 * at all would pass whatever it says.
 */
class FeatureTest {
    private static final int SCENARIOS = 24;

    @Test
    void everyScenarioHolds() {
        SummaryGeneratingListener heard = new SummaryGeneratingListener();
        LauncherFactory.create().execute(LauncherDiscoveryRequestBuilder.request().selectors(selectPackage("features"))
                .filters(includeEngines("cucumber")).configurationParameter(GLUE_PROPERTY_NAME, "ringspindle.act").build(), heard);
        TestExecutionSummary s = heard.getSummary();
        StringWriter text = new StringWriter();
        s.printFailuresTo(new PrintWriter(text));
        assertEquals(0, s.getTotalFailureCount(), text.toString());
        assertEquals(SCENARIOS, s.getTestsSucceededCount(), "scenarios that ran and held");
    }
}
