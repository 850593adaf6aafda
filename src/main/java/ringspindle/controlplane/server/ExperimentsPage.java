package ringspindle.controlplane.server;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.JsonReader;
import jakarta.json.spi.JsonProvider;
import java.io.StringReader;
import java.util.ArrayList;
import ringspindle.controlplane.ControlNode;
import ringspindle.experiment.Comparison;
import ringspindle.experiment.Experiment;
import ringspindle.experiment.Judge;
import ringspindle.experiment.OutcomeCollector.Totals;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.View;

/**
 * The operators' page of experiments; the node that evaluates them adds the counted outcomes. Tools parse it, so its
 * member names and their order are fixed.
 */
final class ExperimentsPage {
    private static final JsonProvider JSON = JsonProvider.provider();

    private ExperimentsPage() {}

    /** Renders the page from the current state. */
    static JsonObject of(ControlNode node) {
        View view = node.replication().view();
        boolean isEvaluator = view != null && view.head().equals(node.nodeId());
        JsonArrayBuilder experiments = JSON.createArrayBuilder();
        for (Fact fact : node.fleet().read(store -> new ArrayList<>(store.all(FactKind.EXPERIMENT)))) {
            experiments.add(experiment(node, new String(fact.value(), UTF_8), isEvaluator));
        }
        return JSON.createObjectBuilder()
                .add("judges", isEvaluator)
                .add("experiments", experiments)
                .build();
    }

    private static JsonObjectBuilder experiment(ControlNode node, String stored, boolean isEvaluator) {
        Experiment experiment = Experiment.read(stored);
        JsonObjectBuilder page;
        try (JsonReader reader = JSON.createReader(new StringReader(stored))) {
            page = JSON.createObjectBuilder(reader.readObject());
        }
        if (isEvaluator && experiment.isOpen()) {
            addCounts(page, node, experiment);
        }
        return page;
    }

    private static void addCounts(JsonObjectBuilder page, ControlNode node, Experiment experiment) {
        Totals totals;
        synchronized (node.fleet().lock) {
            totals = node.fleet().outcomes().totals(experiment.id(), node.nowMs());
        }
        int regions = node.config().regions().size();
        int look = Math.max(1, experiment.progress().looks());
        JsonArrayBuilder comparisons = JSON.createArrayBuilder();
        for (Comparison comparison : new Judge(experiment.plan(), look, regions).comparisons(totals)) {
            comparisons.add(JSON.createObjectBuilder()
                    .add(
                            "side",
                            experiment.plan().sides().get(comparison.side()).name())
                    .add("route", comparison.route())
                    .add("region", comparison.region())
                    .add("measure", comparison.measure().name())
                    .add("difference", comparison.difference())
                    .add("radius", comparison.radius()));
        }
        page.add("counted", totals.requests())
                .add("consistent", totals.consistent())
                .add("comparisons", comparisons);
    }
}
