package ringspindle;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.platform.engine.discovery.DiscoverySelectors.selectPackage;
import static org.junit.platform.launcher.EngineFilter.includeEngines;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import org.junit.platform.launcher.core.LauncherDiscoveryRequestBuilder;
import org.junit.platform.launcher.core.LauncherFactory;
import org.junit.platform.launcher.listeners.SummaryGeneratingListener;
import org.junit.platform.launcher.listeners.TestExecutionSummary;

/**
 * Runs the feature files on the JUnit platform and counts what ran: a suite that the build's runner reports as no test
 * at all would pass whatever it says.
 */
class FeatureTest {
    private static final int SCENARIOS = 24;

    @Test
    void everyScenarioHolds() {
        SummaryGeneratingListener heard = new SummaryGeneratingListener();
        LauncherFactory.create()
                .execute(
                        LauncherDiscoveryRequestBuilder.request()
                                .selectors(selectPackage("features"))
                                .filters(includeEngines("cucumber"))
                                .configurationParameter(GLUE_PROPERTY_NAME, "ringspindle.retry")
                                .build(),
                        heard);
        TestExecutionSummary s = heard.getSummary();
        StringWriter text = new StringWriter();
        s.printFailuresTo(new PrintWriter(text));
        assertEquals(0, s.getTotalFailureCount(), text.toString());
        assertEquals(SCENARIOS, s.getTestsSucceededCount(), "scenarios that ran and held");
    }
}
