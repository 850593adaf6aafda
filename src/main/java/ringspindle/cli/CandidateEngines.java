package ringspindle.cli;

import jakarta.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import ringspindle.api.Operation;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated.Valid;

/** Finds the engines that may serve the requests of a route. */
final class CandidateEngines {
    private CandidateEngines() {}

    /** The engines of a route's services in its home regions, all if there is no such route, none if not known. */
    static List<Explain.Candidate> ofRoute(String name, ControlPlaneClient client) throws InterruptedException {
        ControlPlaneReply engines = client.call(Operation.ENGINES);
        ControlPlaneReply config = client.call(Operation.CONFIG_GET);
        if (!(engines instanceof ControlPlaneReply.Accepted listed)
                || !(config instanceof ControlPlaneReply.Accepted document)
                || !(FleetConfig.read(document.bytes()) instanceof Valid<FleetConfig> valid)) {
            return List.of();
        }
        FleetConfig.Route route = valid.value().routes().stream()
                .filter(candidate -> candidate.name().equals(name))
                .findFirst()
                .orElse(null);
        List<Explain.Candidate> candidates = new ArrayList<>();
        for (JsonObject engine : listed.json().getJsonArray("engines").getValuesAs(JsonObject.class)) {
            if (route == null || mayServe(engine, route)) {
                candidates.add(new Explain.Candidate(
                        engine.getString("id"),
                        engine.getString("zone"),
                        engine.getString("region", ""),
                        engine.getString("state")));
            }
        }
        return candidates;
    }

    private static boolean mayServe(JsonObject engine, FleetConfig.Route route) {
        String service = engine.getString("service");
        boolean isTarget =
                route.targets().stream().anyMatch(target -> target.service().equals(service));
        boolean isHome = route.allowedRegions().allows(engine.getString("region", ""));
        return isTarget && isHome;
    }
}
