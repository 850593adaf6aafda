package ringspindle.experiment;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ringspindle.config.ConfigError;
import ringspindle.config.Validated;
import ringspindle.routing.CostWeights;

/** Documents of experiments: what is read, and what is refused with the name of its field. */
class ExperimentDocumentTest {
    static final String DOCUMENT = """
            {"name": "near", "routes": ["scrip", "digest"], "salt": "2026-12", "ramp": 0.5, "longestS": 600,
             "sides": [{"name": "as-is", "share": 0.5},
                       {"name": "near", "share": 0.5, "policy": {"cost": {"otherRegionMs": 60},
                        "rules": {"rules": [{"name": "long", "match": {"route": "digest"}, "affinity": {"by": "session"}}]}}}]}
            """;

    static ExperimentDocument.Started read(String document) {
        Validated<ExperimentDocument.Started> read = ExperimentDocument.read(document.getBytes(UTF_8));
        return ((Validated.Valid<ExperimentDocument.Started>) read).value();
    }

    private static String errors(String document) {
        Validated<ExperimentDocument.Started> read = ExperimentDocument.read(document.getBytes(UTF_8));
        Validated.Invalid<ExperimentDocument.Started> invalid = assertInstanceOf(Validated.Invalid.class, read);
        return invalid.errors().stream().map(ConfigError::text).collect(Collectors.joining("\n"));
    }

    @Test
    void documentIsReadWithItsDefaults() {
        ExperimentDocument.Started started = read(DOCUMENT);
        assertEquals(0.5, started.ramp());
        assertEquals(0.05, started.plan().errorRate());
        assertEquals(CostWeights.DEFAULT, started.plan().sides().get(0).policy().weights());
        Policy near = started.plan().sides().get(1).policy();
        assertEquals(60, near.weights().otherRegionMs());
        assertEquals(CostWeights.DEFAULT.maxImbalance(), near.weights().maxImbalance());
        assertEquals(2, near.rules().orElseThrow().all().size(), "the rule and the default");
    }

    @Test
    void storedExperimentIsReadBack() {
        ExperimentDocument.Started started = read(DOCUMENT);
        Experiment experiment = Experiment.start(started.plan(), started.ramp(), 42)
                .lookedAt(new Experiment.Progress(3, 900, 17))
                .with(Experiment.Standing.HALTED, "as-is", "near is worse");
        Experiment read = Experiment.read(experiment.write());
        assertEquals(experiment.write(), read.write());
        assertEquals(experiment.progress(), read.progress());
        assertEquals(Experiment.Standing.HALTED, read.state());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"share\": 0.5}, | \"share\": 0.6}, | shares of all sides",
                "\"name\": \"near\", \"share\" | \"name\": \"as-is\", \"share\" | sides[1].name",
                "\"ramp\": 0.5 | \"ramp\": 0 | ramp",
                "\"ramp\": 0.5 | \"errorRate\": 0.9 | errorRate",
                "\"ramp\": 0.5 | \"shortestS\": 700 | shortestS",
                "\"salt\": \"2026-12\" | \"salt\": \"\" | salt",
                "[\"scrip\", \"digest\"] | [\"scrip\", \"scrip\"] | routes",
                "[\"scrip\", \"digest\"] | [] | routes",
                "\"otherRegionMs\": 60 | \"otherRegionMs\": -1 | sides[1].policy.cost.otherRegionMs",
                "\"otherRegionMs\" | \"elsewhereMs\" | elsewhereMs",
                "\"by\": \"session\" | \"by\": \"moon\" | by",
                "\"longestS\" | \"longest\" | longest"
            })
    void whatIsWrongIsNamed(String part, String wrong, String named) {
        String errors = errors(DOCUMENT.replaceFirst(Pattern.quote(part), wrong));
        assertTrue(errors.contains(named), errors);
    }
}
