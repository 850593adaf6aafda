package ringspindle;

import static io.cucumber.junit.platform.engine.Constants.*;

import org.junit.platform.suite.api.*;

/** Runs the feature files. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "ringspindle")
public class FeatureSuite {
}
